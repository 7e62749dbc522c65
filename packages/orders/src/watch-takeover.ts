import { logEvents, type Logger } from '@sequoiafield/logger';
import { monotonicNowMs } from '@sequoiafield/tables';
import { DirectMessageKind, type DirectMessenger } from '@sequoiafield/types';
import type { WatcherSelector } from './watcher-selector.js';

/** Time for which a node watches after each request; a watcher repeats it with each failed call. */
const takeoverMs = 4000;
/**
 * Number of times that a takeover is passed on by nodes that the store does not serve either. It bounds
 * the nodes that call a store which is down for all.
 */
const passedOnMax = 2;

/**
 * Hands the watch of the store over while the store turns a watcher away and serves other machines.
 *
 * @example
 * const takeover = new WatchTakeover(watchers, messenger, logger);
 * if (watchers.isWatcher() || takeover.isActive()) watch();
 */
export class WatchTakeover {
  #untilMs = Number.NEGATIVE_INFINITY;

  /** Number of nodes that passed the takeover on before this one; 0 for a selected watcher. */
  #depth = 0;

  constructor(
    private readonly watchers: WatcherSelector,
    private readonly messenger: DirectMessenger,
    private readonly logger: Logger,
  ) {
    messenger.subscribe(DirectMessageKind.WatchTakeover, (body, fromId) =>
      this.#onRequest(body, fromId),
    );
  }

  /** Whether this node watches in the place of another. */
  isActive(): boolean {
    return monotonicNowMs() < this.#untilMs;
  }

  /** Asks the next nodes to watch, after a call of this node failed. */
  passOn(): void {
    const depth = this.isActive() ? this.#depth : 0;
    if (depth >= passedOnMax || !(this.watchers.isWatcher() || this.isActive())) return;
    for (const id of this.watchers.successorIds()) {
      this.messenger.send(id, DirectMessageKind.WatchTakeover, { depth: depth + 1 });
    }
  }

  #onRequest(body: unknown, fromId: string): void {
    const { depth } = (body ?? {}) as { readonly depth?: unknown };
    if (typeof depth !== 'number' || depth < 1 || depth > passedOnMax) return;
    if (!this.isActive()) this.logger.log(logEvents.watchTakenOver, { fromId });
    this.#depth = this.isActive() ? Math.min(this.#depth, depth) : depth;
    this.#untilMs = monotonicNowMs() + takeoverMs;
  }
}
