import { monotonicNowMs } from '@sequoiafield/tables';

interface Sample {
  readonly atMs: number;
  readonly value: number;
}

/** Number of samples above which the older half is deleted; their values are then unknown. */
const sampleCountMax = 10_000;

/**
 * Records a value over time, for an endpoint that reports an earlier one.
 *
 * @example
 * history.record(3);
 * history.valueAt(monotonicNowMs() - 500);
 */
export class LoadHistory {
  readonly #samples: Sample[] = [];

  record(value: number): void {
    this.#samples.push({ atMs: monotonicNowMs(), value });
    if (this.#samples.length > sampleCountMax) this.#samples.splice(0, sampleCountMax / 2);
  }

  valueAt(atMs: number): number {
    const laterIndex = this.#samples.findIndex((sample) => sample.atMs > atMs);
    return this.#samples[(laterIndex < 0 ? this.#samples.length : laterIndex) - 1]?.value ?? 0;
  }
}
