/** Number of requests of each account, as they are reported. */
export type ReportedCounts = Readonly<Record<string, number>>;

/** Answer to a usage report. */
export enum ReportOutcome {
  Accepted = 'accepted',
  /** A holder with a greater fencing token has reported. */
  Superseded = 'superseded',
  /** Too many reports; this one may be repeated later. */
  RateLimited = 'rate-limited',
  /** No answer, or one that does not say that the report was accepted; it may be repeated. */
  Failed = 'failed',
}

/** Receives usage reports. */
export interface UsageSink {
  /** Longest duration of `report` in ms. */
  readonly timeoutMs: number;
  /** Sends one report once. It does not reject. */
  report(
    holder: string,
    fencingToken: number,
    window: number,
    counts: ReportedCounts,
  ): Promise<ReportOutcome>;
}
