import { monotonicNowMs } from '@sequoiafield/tables';

interface Sample {
  readonly atMs: number;
  readonly value: number;
}

/** Samples kept; older states can no longer be told. */
const samplesMax = 10_000;

/**
 * Remembers a value over time, for an endpoint that tells the past.
 *
 * @example
 * history.record(3);
 * history.valueAt(monotonicNowMs() - 500);
 */
export class LoadHistory {
  readonly #samples: Sample[] = [];

  record(value: number): void {
    this.#samples.push({ atMs: monotonicNowMs(), value });
    if (this.#samples.length > samplesMax) this.#samples.splice(0, samplesMax / 2);
  }

  valueAt(atMs: number): number {
    const later = this.#samples.findIndex((sample) => sample.atMs > atMs);
    return this.#samples[(later < 0 ? this.#samples.length : later) - 1]?.value ?? 0;
  }
}
