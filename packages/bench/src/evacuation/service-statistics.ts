import { build } from 'hdr-histogram-js';

const microsecondsPerMs = 1000;

const createHistogram = () =>
  build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000 * microsecondsPerMs,
    numberOfSignificantValueDigits: 3,
  });

/**
 * Outcomes and latency of one service over a run and over the time after the return.
 *
 * @example
 * figures.record(true, 12.5, false);
 * figures.percentileMs(99);
 */
export class ServiceStatistics {
  offered = 0;

  answered = 0;

  failedAfterRestore = 0;

  readonly #whole = createHistogram();

  readonly #afterReturn = createHistogram();

  record(isAnswered: boolean, latencyMs: number, isAfterReturn: boolean): void {
    this.offered += 1;
    if (!isAnswered) {
      if (isAfterReturn) this.failedAfterRestore += 1;
      return;
    }
    this.answered += 1;
    const value = Math.max(1, Math.round(latencyMs * microsecondsPerMs));
    this.#whole.recordValue(value);
    if (isAfterReturn) this.#afterReturn.recordValue(value);
  }

  percentileMs(percentile: number): number {
    return this.#whole.getValueAtPercentile(percentile) / microsecondsPerMs;
  }

  percentileAfterRestoreMs(percentile: number): number {
    return this.#afterReturn.getValueAtPercentile(percentile) / microsecondsPerMs;
  }
}
