import { bucketBoundsMs, bucketIndexOf } from './latency-buckets.js';

/** Counts by one node of the calls of one route on its backend server; they only grow. */
export interface RouteCounts {
  answered: number;
  /** Answers with a server error. */
  failed: number;
  /** Calls by latency, including those that were not answered in time. */
  readonly buckets: number[];
}

/** Evidence of one node about its backend server, for one move. */
export interface ServerEvidence {
  readonly service: string;
  /** Revision of the order that the evidence belongs to. */
  readonly orderRevision: number;
  readonly backendVersion: string;
  /** Calls that currently run on the server. */
  readonly runningCalls: number;
  readonly routes: Readonly<Record<string, RouteCounts>>;
}

/** Creates counts with all counters at 0. */
export const createRouteCounts = (): RouteCounts => ({
  answered: 0,
  failed: 0,
  buckets: new Array<number>(bucketBoundsMs.length + 1).fill(0),
});

/** Adds one call in place; a status of 0 means that the call was not answered. */
export const recordCall = (counts: RouteCounts, status: number, latencyMs: number): void => {
  const changed = counts;
  if (status > 0) changed.answered += 1;
  if (status >= 500) changed.failed += 1;
  changed.buckets[bucketIndexOf(latencyMs)] = (changed.buckets[bucketIndexOf(latencyMs)] ?? 0) + 1;
};

/** Sum of two counts, or their difference if `sign` is -1. */
export const combineRouteCounts = (
  left: RouteCounts,
  right: RouteCounts,
  sign: 1 | -1 = 1,
): RouteCounts => ({
  answered: left.answered + sign * right.answered,
  failed: left.failed + sign * right.failed,
  buckets: left.buckets.map((count, index) => count + sign * (right.buckets[index] ?? 0)),
});

/** Number of calls, including those that were not answered in time. */
export const countCalls = (counts: RouteCounts): number =>
  counts.buckets.reduce((sum, count) => sum + count, 0);
