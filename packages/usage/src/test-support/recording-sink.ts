import { isDeepStrictEqual } from 'node:util';
import { ReportOutcome, type ReportedCounts, type UsageSink } from '../index.js';

/** Sink that keeps the rules of a receiver of reports: growing tokens, one content for each window. */
export class RecordingSink implements UsageSink {
  readonly timeoutMs = 800;

  /** Counts and first arrival of each window. */
  readonly reports = new Map<
    number,
    { readonly counts: ReportedCounts; readonly atUnixMs: number }
  >();

  /** Reporting nodes in the order of their first reports. */
  readonly holders: string[] = [];

  reportsCount = 0;

  /** Windows that were reported with two contents. */
  readonly conflictingWindows: number[] = [];

  /** Outcome that a report gets instead of being accepted; undefined for none. */
  decideFault: () => ReportOutcome | undefined = () => undefined;

  #greatestToken = 0;

  async report(
    holder: string,
    fencingToken: number,
    window: number,
    counts: ReportedCounts,
  ): Promise<ReportOutcome> {
    const fault = this.decideFault();
    if (fault === ReportOutcome.RateLimited) return fault;
    if (fencingToken < this.#greatestToken) return ReportOutcome.Superseded;
    this.#greatestToken = fencingToken;
    this.reportsCount += 1;
    const first = this.reports.get(window);
    if (first && !isDeepStrictEqual(counts, first.counts)) this.conflictingWindows.push(window);
    if (!first) this.reports.set(window, { counts, atUnixMs: Date.now() });
    if (this.holders.at(-1) !== holder) this.holders.push(holder);
    // A failure after the report has arrived is an answer that was lost.
    return fault ?? ReportOutcome.Accepted;
  }
}
