import type { IncomingMessage, Server } from 'node:http';
import type { Logger } from '@sequoiafield/logger';
import { monotonicNowMs, type System } from '@sequoiafield/tables';
import { AcceptQueueMonitor } from './accept-queue-monitor.js';
import type { CallCounters } from './call-counters.js';
import { EventLoopLagMonitor } from './event-loop-lag-monitor.js';

/**
 * Time that a request may wait unread. After a longer one its caller may have left, and the close is
 * read after the request.
 */
const unreadWaitMaxMs = 100;

/** Starts a request that may have waited unread only after a close of its caller would be read. */
export class LateRequestGuard {
  readonly #lagMonitor = new EventLoopLagMonitor();

  readonly #acceptQueueMonitor: AcceptQueueMonitor;

  /** Systems to run each tick; without them a lagging event loop is not detected. */
  readonly systems: readonly System[] = [this.#lagMonitor];

  constructor(
    private readonly counters: CallCounters,
    logger: Logger,
  ) {
    this.#acceptQueueMonitor = new AcceptQueueMonitor(logger);
  }

  /** Observes the connections of a server from now on. */
  watch(server: Server): void {
    this.#acceptQueueMonitor.watch(server);
  }

  /**
   * Calls `onPresent` for a request whose caller may wait, or `onAbandoned` if the caller closed the
   * connection; called when the request has been read. `hasWaitedUnread` is true if it is known to have
   * waited.
   */
  check(
    request: IncomingMessage,
    hasWaitedUnread: boolean,
    onPresent: () => void,
    onAbandoned: () => void,
  ): void {
    if (!this.#mayHaveWaited(request) && !hasWaitedUnread) {
      onPresent();
      return;
    }
    this.counters.requestsLate += 1;
    // The close is read one turn of the event loop after the request.
    setImmediate(() => {
      setImmediate(() => {
        const { socket } = request;
        if (!socket.readableEnded && !socket.destroyed) {
          onPresent();
          return;
        }
        this.counters.requestsAbandoned += 1;
        onAbandoned();
      });
    });
  }

  #mayHaveWaited({ socket }: IncomingMessage): boolean {
    const waitMaxMs = this.#acceptQueueMonitor.takeWaitMaxMs(socket);
    return waitMaxMs > unreadWaitMaxMs || this.#lagMonitor.isLagging(monotonicNowMs());
  }
}
