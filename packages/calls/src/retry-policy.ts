import {
  RefusalOutcome,
  RefusalReason,
  type CalledRoute,
  type CallRefusal,
} from '@sequoiafield/types';

/** State of a call after an attempt was refused. */
export interface RetryQuestion {
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
export interface AnswerQuestion extends Omit<RetryQuestion, 'refusal'> {
  readonly status: number;
}

/** Decides whether a refused attempt is followed by another; tests replace it. */
export interface RetryPolicy {
  mayRetry(question: RetryQuestion): boolean;
  /** Whether another backend server is asked although one answered. */
  mayRepeat(question: AnswerQuestion): boolean;
}

/** Attempts of one call at most, so that one call cannot walk through a whole service. */
const attemptsMax = 4;

/** Another member would refuse too, or nobody waits any more. */
const finalReasons: ReadonlySet<RefusalReason> = new Set([
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
  RefusalReason.DataCentreOut,
  RefusalReason.Draining,
  RefusalReason.NotReady,
  RefusalReason.StaleView,
  RefusalReason.VersionOverShare,
  RefusalReason.VersionTakenBack,
  RefusalReason.WrongIncarnation,
  RefusalReason.WrongVersion,
]);

/** A non-idempotent request is sent again only after a true "not run". */
export class SafeRetryPolicy implements RetryPolicy {
  mayRetry(question: RetryQuestion): boolean {
    const { route, refusal } = question;
    if (!question.isReplayable || question.attemptsSoFar >= attemptsMax) return false;
    if (finalReasons.has(refusal.reason)) return false;
    const isNotRun = refusal.outcome === RefusalOutcome.NotRun;
    if (!isNotRun && !route.isIdempotent) return false;
    return (isNotRun && budgetFreeReasons.has(refusal.reason)) || question.takeBudget();
  }

  mayRepeat(): boolean {
    return false;
  }
}
