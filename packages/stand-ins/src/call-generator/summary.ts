import { build } from 'hdr-histogram-js';
import { RequestOutcome, type OutcomeRecord } from './request-outcome.js';

/** Latency of the answered requests of one route. */
export interface RouteSummary {
  readonly answered: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  readonly maxMs: number;
}

/** Result of a run. */
export interface RunSummary {
  readonly requests: number;
  readonly outcomes: Readonly<Record<RequestOutcome, number>>;
  readonly reasons: Readonly<Record<string, number>>;
  readonly routes: Readonly<Record<string, RouteSummary>>;
}

const microsecondsPerMs = 1000;
const latencyMaxMs = 600_000;

const summarizeRoute = (records: readonly OutcomeRecord[]): RouteSummary => {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: latencyMaxMs * microsecondsPerMs,
    numberOfSignificantValueDigits: 3,
  });
  records.forEach(({ latencyMs }) => {
    histogram.recordValue(Math.max(1, Math.round(latencyMs * microsecondsPerMs)));
  });
  const percentileMs = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / microsecondsPerMs;
  return {
    answered: records.length,
    p50Ms: percentileMs(50),
    p99Ms: percentileMs(99),
    p999Ms: percentileMs(99.9),
    maxMs: percentileMs(100),
  };
};

const countBy = (texts: readonly string[]): Record<string, number> => {
  const counts: Record<string, number> = {};
  for (const text of texts) counts[text] = (counts[text] ?? 0) + 1;
  return counts;
};

/**
 * Counts outcomes and computes latency percentiles per route.
 *
 * @example
 * summarizeRun(records).routes['GET /tabs/{n}']?.p99Ms;
 */
export const summarizeRun = (records: readonly OutcomeRecord[]): RunSummary => {
  const answered = records.filter(({ outcome }) => outcome === RequestOutcome.Answered);
  const routes = [...new Set(records.map(({ route }) => route))].sort();
  const zeroCounts = Object.fromEntries(
    Object.values(RequestOutcome).map((outcome) => [outcome, 0]),
  );
  return {
    requests: records.length,
    outcomes: { ...zeroCounts, ...countBy(records.map(({ outcome }) => outcome)) } as Record<
      RequestOutcome,
      number
    >,
    reasons: countBy(records.map(({ detail }) => detail).filter((detail) => detail !== '')),
    routes: Object.fromEntries(
      routes.map((route) => [
        route,
        summarizeRoute(answered.filter((record) => record.route === route)),
      ]),
    ),
  };
};
