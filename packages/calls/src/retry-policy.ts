import {
  RefusalOutcome,
  RefusalReason,
  type CalledRoute,
  type CallRefusal,
} from '@sequoiafield/types';

/** State of a call after an attempt was refused. */
export interface RetryContext {
  readonly route: CalledRoute;
  readonly refusal: CallRefusal;
  readonly attemptsSoFar: number;
  /** Attempts that reached a backend server, or may have. */
  readonly sentToServers: number;
  /** Whether the body of the request can be sent again. */
  readonly isReplayable: boolean;
  /** Takes one retry from the service's retry budget; returns false if the budget is spent. */
  takeBudget(): boolean;
}

/** State of a call after a backend server answered. */
export interface AnswerRetryContext extends Omit<RetryContext, 'refusal'> {
  readonly status: number;
}

/** Decides whether an attempt is followed by another; replaceable in tests. */
export interface RetryPolicy {
  /** Returns whether a refused attempt is followed by another. */
  mayRetry(context: RetryContext): boolean;
  /** Returns whether the call is retried on another backend server after an answer. */
  mayRetryAfterAnswer(context: AnswerRetryContext): boolean;
}

/** Keeps one call from being sent to every member of a service. */
const attemptsPerCallMax = 4;

/** Refusals after which no other member is tried: it would refuse too, or no caller waits. */
const nonRetryableReasons: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.BodyTooLarge,
  RefusalReason.Cancelled,
  RefusalReason.DeadlinePassed,
  RefusalReason.NoRoute,
]);

/**
 * Refusals that cost no backend server any work and are not caused by overload. A retry after them
 * takes nothing from the retry budget, because a data centre that is evacuated refuses far more
 * calls than the budget allows.
 */
const budgetFreeReasons: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.ConnectFailed,
  RefusalReason.DataCentreEvacuated,
  RefusalReason.Draining,
  RefusalReason.NotReady,
  RefusalReason.StaleView,
  RefusalReason.VersionOverShare,
  RefusalReason.VersionRolledBack,
  RefusalReason.WrongIncarnation,
  RefusalReason.WrongVersion,
]);

/** Retry policy that repeats a non-idempotent request only after a refusal as not run. */
export class SafeRetryPolicy implements RetryPolicy {
  mayRetry(context: RetryContext): boolean {
    const { route, refusal } = context;
    if (!context.isReplayable || context.attemptsSoFar >= attemptsPerCallMax) return false;
    if (nonRetryableReasons.has(refusal.reason)) return false;
    const isNotRun = refusal.outcome === RefusalOutcome.NotRun;
    if (!isNotRun && !route.isIdempotent) return false;
    return (isNotRun && budgetFreeReasons.has(refusal.reason)) || context.takeBudget();
  }

  mayRetryAfterAnswer(): boolean {
    return false;
  }
}
