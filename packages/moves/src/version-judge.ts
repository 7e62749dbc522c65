import {
  combineRouteCounts,
  countCalls,
  createRouteCounts,
  type RouteCounts,
} from './server-evidence.js';
import { bucketBoundsMs, shareAbove } from './latency-buckets.js';

/** Judgement of a new version by its evidence. */
export enum Judgement {
  /** Too few calls for a judgement. */
  Undecided = 'open',
  Good = 'good',
  Bad = 'bad',
}

/**
 * Fewest calls of a route from which the new version is judged. A version that fails 30 % of its calls
 * has 4 or more failures in 12 calls with a probability of 0.5, and in the 50 calls that a bad version
 * may get besides a tenth of all calls with a probability of 0.99.
 */
const callsMin = 12;
/** Fewest bad calls of a bad version; single failures occur on good versions as well. */
const badCallsMin = 4;
/** Largest share of bad calls of a good version beyond twice the share of the old version. */
const badShareMax = 0.15;
/** Share of the old version's calls that may lie above its usual latency. */
const shareAboveUsualMax = 0.08;
/** Buckets between the usual latency and a slow call; servers of one service differ threefold. */
const slowMarginBuckets = 1;

/** Bucket above which a call is slow, from the latencies of the old version. */
const slowBucketOf = (old: RouteCounts): number => {
  for (let bucket = 0; bucket < bucketBoundsMs.length; bucket++) {
    if (shareAbove(old.buckets, bucket) <= shareAboveUsualMax) return bucket + slowMarginBuckets;
  }
  return bucketBoundsMs.length;
};

const failedShare = (counts: RouteCounts): number =>
  counts.answered === 0 ? 0 : counts.failed / counts.answered;

const judgeRoute = (old: RouteCounts | undefined, candidate: RouteCounts): Judgement => {
  const calls = countCalls(candidate);
  if (calls < callsMin) return Judgement.Undecided;
  const isComparable = old !== undefined && countCalls(old) >= callsMin;
  const oldFailed = isComparable ? failedShare(old) : 0;
  const failed = failedShare(candidate);
  if (candidate.failed >= badCallsMin && failed > badShareMax + 2 * oldFailed) return Judgement.Bad;
  if (!isComparable) return Judgement.Good;
  const slowBucket = slowBucketOf(old);
  const slow = shareAbove(candidate.buckets, slowBucket);
  const oldSlow = shareAbove(old.buckets, slowBucket);
  const isSlow = slow * calls >= badCallsMin && slow > badShareMax + 2 * oldSlow;
  return isSlow ? Judgement.Bad : Judgement.Good;
};

/** Counts of one version by route. */
export type CountsByRoute = ReadonlyMap<string, RouteCounts>;

/**
 * Judges a new version against the old one, route by route, since a version may be bad on one route
 * only.
 *
 * @example
 * judgeVersion(oldCounts, newCounts) === Judgement.Bad;
 */
export const judgeVersion = (old: CountsByRoute, candidate: CountsByRoute): Judgement => {
  const judgements = [...candidate].map(([route, counts]) => judgeRoute(old.get(route), counts));
  if (judgements.includes(Judgement.Bad)) return Judgement.Bad;
  return judgements.includes(Judgement.Good) ? Judgement.Good : Judgement.Undecided;
};

/** Difference of two states of the same counters: the calls counted in between. */
export const countsSince = (now: CountsByRoute, before: CountsByRoute): CountsByRoute =>
  new Map(
    [...now].map(([route, counts]) => [
      route,
      combineRouteCounts(counts, before.get(route) ?? createRouteCounts(), -1),
    ]),
  );
