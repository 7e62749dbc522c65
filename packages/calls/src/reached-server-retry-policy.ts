import { RefusalOutcome, RefusalReason } from '@sequoiafield/types';
import type { AnswerRetryContext, RetryPolicy, RetryContext } from './retry-policy.js';

/** Each member that refuses costs one round trip between nodes. */
const attemptsPerCallMax = 6;

/** Refusals after which no other member is tried: it would refuse too, or no caller waits. */
export const nonRetryableReasons: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.BodyTooLarge,
  RefusalReason.Cancelled,
  RefusalReason.DeadlinePassed,
  RefusalReason.NoRoute,
]);

/** Refusals of requests that reached a backend server although they did not run. */
const reachedServerReasons: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.BackendServerRefused,
  RefusalReason.WrongServer,
]);

const serverErrorStatusMin = 500;

/** Returns whether a refused attempt reached a backend server, or may have reached it. */
export const hasReachedServer = (outcome: RefusalOutcome, reason: RefusalReason): boolean =>
  outcome === RefusalOutcome.Unknown || reachedServerReasons.has(reason);

/**
 * Retry policy in which only a retry after an attempt that reached a backend server takes from the
 * retry budget and counts towards the route's attempts; a refusal by a node costs the backend
 * servers nothing.
 *
 * @example
 * createCallProxy({ ...options, retryPolicy: new ReachedServerRetryPolicy() });
 */
export class ReachedServerRetryPolicy implements RetryPolicy {
  mayRetry(context: RetryContext): boolean {
    const { route, refusal, sentToServers } = context;
    if (!context.isReplayable || context.attemptsSoFar >= attemptsPerCallMax) return false;
    if (nonRetryableReasons.has(refusal.reason)) return false;
    if (refusal.reason === RefusalReason.NoBackendServer) return false;
    const isNotRun = refusal.outcome === RefusalOutcome.NotRun;
    if (!isNotRun && !route.isIdempotent) return false;
    // Once a request reached a server, a further attempt is a retry, even if a node refused the
    // last one.
    if (sentToServers === 0) return true;
    return sentToServers < (route.attemptsMax ?? 1) && context.takeBudget();
  }

  mayRetryAfterAnswer(context: AnswerRetryContext): boolean {
    const { route, status, sentToServers } = context;
    if (status < serverErrorStatusMin || !route.isIdempotent || !context.isReplayable) return false;
    return sentToServers < (route.attemptsMax ?? 1) && context.takeBudget();
  }
}
