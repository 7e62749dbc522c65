import { RefusalReason, type AttemptReport } from '@sequoiafield/types';

/** State of a member by the results of this caller's own attempts. */
export enum EjectionState {
  NotEjected = 'in',
  /** The back-off has ended: one trial call may be sent. */
  Trial = 'trial',
  /** Ejected for failed answers, whose cause may be the route and not the member. */
  EjectedForFailures = 'out-by-failures',
  /** Ejected because it could not be reached, gave no answer, or refused all new work. */
  EjectedForRefusal = 'out-by-refusal',
}

/** Ejects members by the results of this caller's own attempts. */
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

/** Refusal reasons that eject a member at once, since it takes no new work from this caller. */
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

/** Refusal reasons that do not eject a member: they depend on the load or on the call. */
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
