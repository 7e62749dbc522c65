import { monotonicNowMs, type System, type Tick } from '@sequoiafield/tables';
import { stalePauseMs } from '@sequoiafield/types';

/**
 * Says whether the view of this node is stale after a pause of its loop, until one gossip
 * exchange or store read that began after the pause has refreshed it.
 *
 * @example
 * if (freshness.isStale()) refuse('stale-view');
 */
export class FreshnessTracker implements System {
  readonly name = 'freshness';

  #tickedAtMs = monotonicNowMs();

  #staleSinceMs: number | undefined;

  constructor(private readonly gossipRefreshedAtMs: () => number) {}

  run(tick: Tick): void {
    if (tick.wasPaused) this.#staleSinceMs = tick.nowMs;
    this.#tickedAtMs = tick.nowMs;
  }

  /** Counts a store read that was started at a time as a refresh. */
  recordStoreRead(startedAtMs: number): void {
    if (this.#staleSinceMs !== undefined && startedAtMs >= this.#staleSinceMs) {
      this.#staleSinceMs = undefined;
    }
  }

  isStale(): boolean {
    // After a pause a call may arrive before the first tick does.
    if (monotonicNowMs() - this.#tickedAtMs > stalePauseMs) return true;
    if (this.#staleSinceMs === undefined) return false;
    if (this.gossipRefreshedAtMs() > this.#staleSinceMs) this.#staleSinceMs = undefined;
    return this.#staleSinceMs !== undefined;
  }
}
