import { RefusalOutcome, RefusalReason } from '@sequoiafield/types';
import type { AnswerRetryContext, RetryPolicy, RetryContext } from './retry-policy.js';

/** Members asked for one call at most; each that refuses costs one round trip between nodes. */
const placementsMax = 6;

/** No other member is asked after these: it would refuse too, or nobody waits any more. */
export const nonRetryableReasons: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.BodyTooLarge,
  RefusalReason.Cancelled,
  RefusalReason.DeadlinePassed,
  RefusalReason.NoRoute,
]);

/** Refusals of requests that reached a backend server although they did not run. */
const reachedReasons: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.BackendServerRefused,
  RefusalReason.WrongServer,
]);

const statusServerError = 500;

/** Whether a refused attempt was handed to a backend server, or may have been. */
export const hasReachedServer = (outcome: RefusalOutcome, reason: RefusalReason): boolean =>
  outcome === RefusalOutcome.Unknown || reachedReasons.has(reason);

/**
 * Only an attempt that reached a backend server takes from the budget and counts towards the route's
 * attempts; what a node refuses by itself costs the servers nothing.
 *
 * @example
 * createCallProxy({ ...options, retryPolicy: new ReachedServerRetryPolicy() });
 */
export class ReachedServerRetryPolicy implements RetryPolicy {
  mayRetry(question: RetryContext): boolean {
    const { route, refusal, sentToServers } = question;
    if (!question.isReplayable || question.attemptsSoFar >= placementsMax) return false;
    if (nonRetryableReasons.has(refusal.reason)) return false;
    if (refusal.reason === RefusalReason.NoBackendServer) return false;
    const isNotRun = refusal.outcome === RefusalOutcome.NotRun;
    if (!isNotRun && !route.isIdempotent) return false;
    // A request that reached a server before is a repeat at the next one, whoever refused it last.
    if (sentToServers === 0) return true;
    return sentToServers < (route.attemptsMax ?? 1) && question.takeBudget();
  }

  mayRetryAfterAnswer(question: AnswerRetryContext): boolean {
    const { route, status, sentToServers } = question;
    if (status < statusServerError || !route.isIdempotent || !question.isReplayable) return false;
    return sentToServers < (route.attemptsMax ?? 1) && question.takeBudget();
  }
}
