import { bucketBoundsMs, bucketIndexOf } from './latency-buckets.js';

/** What one node counted of the calls of one route on its backend server; counts only grow. */
export interface RouteCounts {
  answered: number;
  /** Answers with a server error. */
  failed: number;
  /** Calls by latency, also those that were not answered in time. */
  readonly buckets: number[];
}

/** Evidence of one node about its backend server, for one move. */
export interface ServerEvidence {
  readonly service: string;
  /** Revision of the order that it is evidence for. */
  readonly orderRevision: number;
  readonly backendVersion: string;
  /** Calls that run on the server now. */
  readonly runningCalls: number;
  readonly routes: Readonly<Record<string, RouteCounts>>;
}

/** Counts with nothing in them. */
export const createRouteCounts = (): RouteCounts => ({
  answered: 0,
  failed: 0,
  buckets: new Array<number>(bucketBoundsMs.length + 1).fill(0),
});

/** Adds one call. */
export const recordCall = (counts: RouteCounts, status: number, latencyMs: number): void => {
  const changed = counts;
  if (status > 0) changed.answered += 1;
  if (status >= 500) changed.failed += 1;
  changed.buckets[bucketIndexOf(latencyMs)] = (changed.buckets[bucketIndexOf(latencyMs)] ?? 0) + 1;
};

/** Sum of two counts, or their difference with `sign` -1. */
export const combineRouteCounts = (
  left: RouteCounts,
  right: RouteCounts,
  sign: 1 | -1 = 1,
): RouteCounts => ({
  answered: left.answered + sign * right.answered,
  failed: left.failed + sign * right.failed,
  buckets: left.buckets.map((count, index) => count + sign * (right.buckets[index] ?? 0)),
});

/** Calls that were answered or took too long to be. */
export const countCalls = (counts: RouteCounts): number =>
  counts.buckets.reduce((sum, count) => sum + count, 0);
