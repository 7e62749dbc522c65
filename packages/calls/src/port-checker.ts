import { connect } from 'node:net';
import { monotonicNowMs } from '@sequoiafield/tables';

/** Shortest time between two checks; several connections of a server usually end together. */
const checkIntervalMs = 250;
const connectTimeoutMs = 250;

/** Address of the server whose port is checked. */
export interface CheckedEndpoint {
  readonly address: string;
  readonly port: number;
}

/**
 * Checks whether a server whose connection was lost still listens. A server that does not has ended, and
 * what answers at its port later is another incarnation.
 *
 * @example
 * const checker = new PortChecker({ address: '127.0.0.1', port: 8080 }, () => gate.recordServerEnded());
 * checker.checkSoon();
 */
export class PortChecker {
  #isScheduled = false;

  #checkedAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly endpoint: CheckedEndpoint,
    private readonly onRefused: () => void,
  ) {}

  /** Checks at once, or after the shortest time since the last check. */
  checkSoon(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    const delayMs = Math.max(0, this.#checkedAtMs + checkIntervalMs - monotonicNowMs());
    setTimeout(() => {
      this.#isScheduled = false;
      this.#checkedAtMs = monotonicNowMs();
      this.#check();
    }, delayMs).unref();
  }

  #check(): void {
    const socket = connect(this.endpoint.port, this.endpoint.address);
    socket.setTimeout(connectTimeoutMs, () => socket.destroy());
    socket.on('connect', () => socket.destroy());
    socket.on('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'ECONNREFUSED') this.onRefused();
    });
  }
}
