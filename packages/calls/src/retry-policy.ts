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
  /** Takes one retry from the service's budget. */
  takeBudget(): boolean;
}

/** State of a call after a backend server answered. */
export interface AnswerRetryContext extends Omit<RetryContext, 'refusal'> {
  readonly status: number;
}

/** Decides whether a refused attempt is followed by another; tests replace it. */
export interface RetryPolicy {
  mayRetry(question: RetryContext): boolean;
  /** Whether another backend server is asked although one answered. */
  mayRetryAfterAnswer(question: AnswerRetryContext): boolean;
}

/** Attempts of one call at most, so that one call cannot walk through a whole service. */
const attemptsMax = 4;

/** Another member would refuse too, or nobody waits any more. */
const nonRetryableReasons: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.BodyTooLarge,
  RefusalReason.Cancelled,
  RefusalReason.DeadlinePassed,
  RefusalReason.NoRoute,
]);

/**
 * Refusals that cost no backend server any work and do not come from overload. They take nothing
 * from the retry budget: a whole data centre that leaves refuses far more calls than the budget holds.
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

/** A non-idempotent request is sent again only after a true "not run". */
export class SafeRetryPolicy implements RetryPolicy {
  mayRetry(question: RetryContext): boolean {
    const { route, refusal } = question;
    if (!question.isReplayable || question.attemptsSoFar >= attemptsMax) return false;
    if (nonRetryableReasons.has(refusal.reason)) return false;
    const isNotRun = refusal.outcome === RefusalOutcome.NotRun;
    if (!isNotRun && !route.isIdempotent) return false;
    return (isNotRun && budgetFreeReasons.has(refusal.reason)) || question.takeBudget();
  }

  mayRetryAfterAnswer(): boolean {
    return false;
  }
}
