import { monotonicNowMs } from '@sequoiafield/tables';

/**
 * Token bucket for the bytes that a node sends. Required datagrams may overdraw it; optional ones
 * wait until it has refilled.
 *
 * @example
 * if (budget.hasBytesLeft()) socket.send(bytes, port, address);
 * budget.spend(bytes.length);
 */
export class ByteBudget {
  #remainingBytes: number;

  #refilledAtMs = monotonicNowMs();

  constructor(
    private readonly bytesPerS: number,
    private readonly burstBytes: number,
  ) {
    this.#remainingBytes = burstBytes;
  }

  hasBytesLeft(): boolean {
    this.#refill();
    return this.#remainingBytes > 0;
  }

  spend(bytes: number): void {
    this.#refill();
    this.#remainingBytes -= bytes;
  }

  #refill(): void {
    const nowMs = monotonicNowMs();
    const gainedBytes = ((nowMs - this.#refilledAtMs) / 1000) * this.bytesPerS;
    this.#remainingBytes = Math.min(this.burstBytes, this.#remainingBytes + gainedBytes);
    this.#refilledAtMs = nowMs;
  }
}
