import type { Server, Socket } from 'node:net';
import { logEvents, type Logger } from '@sequoiafield/logger';
import { monotonicNowMs } from '@sequoiafield/tables';

/** Longest wait of a period in which connections waited, above which the period is logged. */
const loggedWaitMinMs = 250;

/**
 * Bounds the time for which a connection waited to be accepted. The event loop accepts one connection
 * in each turn, so that connections may wait for seconds although every turn is short.
 *
 * @example
 * const monitor = new AcceptQueueMonitor(logger);
 * monitor.watch(server);
 * monitor.takeWaitMaxMs(request.socket); // 0 if the turn before accepted no connection
 */
export class AcceptQueueMonitor {
  /** Time at which the queue was last known to be empty, in ms on the monotonic clock. */
  #emptyAtMs = monotonicNowMs();

  #isChecking = false;

  #hasAccepted = false;

  #acceptedCount = 0;

  readonly #waitMaxMsOf = new WeakMap<Socket, number>();

  constructor(private readonly logger: Logger) {}

  /** Observes the connections of a server from now on. */
  watch(server: Server): void {
    server.on('connection', (socket) => this.#onConnection(socket));
  }

  /**
   * Returns the longest time in ms for which the first request of a connection may have waited for the
   * connection to be accepted; 0 for later requests.
   */
  takeWaitMaxMs(socket: Socket): number {
    const waitMaxMs = this.#waitMaxMsOf.get(socket) ?? 0;
    this.#waitMaxMsOf.delete(socket);
    return waitMaxMs;
  }

  #onConnection(socket: Socket): void {
    const nowMs = monotonicNowMs();
    this.#hasAccepted = true;
    if (!this.#isChecking) {
      // The turn before accepted no connection, so that none waited.
      this.#isChecking = true;
      this.#emptyAtMs = nowMs;
      this.#acceptedCount = 0;
      setImmediate(() => this.#onTurnEnd());
    }
    this.#acceptedCount += 1;
    if (nowMs > this.#emptyAtMs) this.#waitMaxMsOf.set(socket, nowMs - this.#emptyAtMs);
  }

  #onTurnEnd(): void {
    if (this.#hasAccepted) {
      this.#hasAccepted = false;
      setImmediate(() => this.#onTurnEnd());
      return;
    }
    this.#isChecking = false;
    const waitMaxMs = Math.round(monotonicNowMs() - this.#emptyAtMs);
    if (waitMaxMs < loggedWaitMinMs) return;
    const accepted = this.#acceptedCount;
    this.logger.log(logEvents.connectionsWaited, { waitMaxMs, accepted });
  }
}
