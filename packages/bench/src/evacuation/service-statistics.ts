import { build } from 'hdr-histogram-js';

const microsecondsPerMs = 1000;

const createHistogram = () =>
  build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000 * microsecondsPerMs,
    numberOfSignificantValueDigits: 3,
  });

/**
 * Counts the outcomes of one service and records its latencies, over the whole run and after the
 * data centre is restored.
 *
 * @example
 * statistics.record(true, 12.5, false);
 * statistics.percentileMs(99);
 */
export class ServiceStatistics {
  offered = 0;

  answered = 0;

  failedAfterRestore = 0;

  readonly #wholeRun = createHistogram();

  readonly #afterRestore = createHistogram();

  record(isAnswered: boolean, latencyMs: number, isAfterRestore: boolean): void {
    this.offered += 1;
    if (!isAnswered) {
      if (isAfterRestore) this.failedAfterRestore += 1;
      return;
    }
    this.answered += 1;
    const value = Math.max(1, Math.round(latencyMs * microsecondsPerMs));
    this.#wholeRun.recordValue(value);
    if (isAfterRestore) this.#afterRestore.recordValue(value);
  }

  percentileMs(percentile: number): number {
    return this.#wholeRun.getValueAtPercentile(percentile) / microsecondsPerMs;
  }

  percentileAfterRestoreMs(percentile: number): number {
    return this.#afterRestore.getValueAtPercentile(percentile) / microsecondsPerMs;
  }
}
