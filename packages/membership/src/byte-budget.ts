import { monotonicNowMs } from '@sequoiafield/tables';

/**
 * Token bucket over the bytes that a node sends. Necessary datagrams may overdraw it; optional
 * ones wait until it has recovered.
 *
 * @example
 * if (budget.hasBytesLeft()) port.send(bytes, to);
 * budget.spend(bytes.length);
 */
export class ByteBudget {
  #leftBytes: number;

  #refilledAtMs = monotonicNowMs();

  constructor(
    private readonly bytesPerS: number,
    private readonly burstBytes: number,
  ) {
    this.#leftBytes = burstBytes;
  }

  hasBytesLeft(): boolean {
    this.#refill();
    return this.#leftBytes > 0;
  }

  spend(bytes: number): void {
    this.#refill();
    this.#leftBytes -= bytes;
  }

  #refill(): void {
    const nowMs = monotonicNowMs();
    const gainedBytes = ((nowMs - this.#refilledAtMs) / 1000) * this.bytesPerS;
    this.#leftBytes = Math.min(this.burstBytes, this.#leftBytes + gainedBytes);
    this.#refilledAtMs = nowMs;
  }
}
