import { RefusalReason, type AttemptReport } from '@sequoiafield/types';

/** What this caller's own attempts say about a member. */
export enum EjectionState {
  NotEjected = 'in',
  /** The back-off is over: one call may try it. */
  Trial = 'trial',
  /** Ejected for failed answers; they may be the fault of the route, not of the member. */
  EjectedForFailures = 'out-by-failures',
  /** Ejected because it could not be reached, gave no answer, or said that it takes no work. */
  EjectedForRefusal = 'out-by-refusal',
}

/** Ejects members on this caller's own evidence. */
export interface Ejector {
  ejectionStateOf(memberId: string, incarnation: number): EjectionState;
  /** Higher is worse; compares ejected members when all are ejected. */
  ejectionSeverityOf(memberId: string): number;
  begin(memberId: string): void;
  report(report: AttemptReport): void;
  prune(isKnown: (memberId: string) => boolean): void;
}

/** Consecutive failed answers that eject a member. */
export const failuresToEject = 3;
/** Consecutive attempts without any answer that eject a member; one may be a slow call. */
export const unansweredAttemptsToEject = 2;
/** First back-off; it doubles with each further ejection. */
export const backOffFirstMs = 1000;
export const backOffMaxMs = 30_000;
/** A trial call without a report after this time no longer blocks the next one. */
export const trialMaxMs = 10_000;

/** Reasons that say at once that the member takes no new work from this caller. */
export const ejectingReasons: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.NoBackendServer,
  RefusalReason.NotReady,
  RefusalReason.StaleView,
  RefusalReason.Draining,
  RefusalReason.DataCentreEvacuated,
  RefusalReason.WrongIncarnation,
  RefusalReason.VersionRolledBack,
  RefusalReason.WrongVersion,
  RefusalReason.ConnectFailed,
  RefusalReason.LinkLost,
]);

/** Reasons that say something about load or about the call, and nothing about the member. */
export const nonEjectingReasons: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.QueueFull,
  RefusalReason.DeadlineUnreachable,
  RefusalReason.DeadlinePassed,
  RefusalReason.DuplicateAttempt,
  RefusalReason.VersionOverShare,
  RefusalReason.RetryBudgetSpent,
  RefusalReason.BodyTooLarge,
  RefusalReason.Cancelled,
  RefusalReason.NoRoute,
]);
