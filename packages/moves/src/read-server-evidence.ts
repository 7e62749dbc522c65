import type { RouteCounts, ServerEvidence } from './server-evidence.js';
import { bucketBoundsMs } from './latency-buckets.js';

const isCount = (value: unknown): boolean => Number.isSafeInteger(value) && (value as number) >= 0;

const isRouteCounts = (value: unknown): value is RouteCounts => {
  const { answered, failed, buckets } = (value ?? {}) as Partial<RouteCounts>;
  if (!isCount(answered) || !isCount(failed) || !Array.isArray(buckets)) return false;
  return buckets.length === bucketBoundsMs.length + 1 && buckets.every(isCount);
};

/**
 * Reads evidence received from another node; undefined if it is malformed, since a judge would fail at
 * each tick that sums it.
 */
export const readServerEvidence = (body: unknown): ServerEvidence | undefined => {
  const evidence = (body ?? {}) as Partial<ServerEvidence>;
  const { service, orderRevision, backendVersion, runningCalls, routes } = evidence;
  const isEvidence =
    typeof service === 'string' &&
    isCount(orderRevision) &&
    typeof backendVersion === 'string' &&
    isCount(runningCalls) &&
    typeof routes === 'object' &&
    routes !== null &&
    Object.values(routes).every(isRouteCounts);
  return isEvidence ? (evidence as ServerEvidence) : undefined;
};
