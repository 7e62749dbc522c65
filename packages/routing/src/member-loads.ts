import type { AttemptReport, LoadReport } from '@sequoiafield/types';

/** Load of members as estimated by this caller. */
export interface MemberLoads {
  begin(memberId: string): void;
  report(report: AttemptReport): void;
  /** Share of the member's slots in use if it got one more call; over 1, calls are queued. */
  loadRatioOf(memberId: string, slots: number): number;
  prune(isKnown: (memberId: string) => boolean): void;
}

/** A report that is this old counts for 37 %, since load changes within a few service times. */
export const loadDecayMs = 1000;
/** Reported slots are used for this long; a cold server warms up within that time. */
export const reportedSlotsMaxAgeMs = 3000;

/** Last report of one member. */
export interface ReportedLoad {
  readonly load: LoadReport;
  readonly receivedAtMs: number;
  /** Calls of this caller that ran when the report arrived; they are part of the reported load. */
  readonly ownRunningCalls: number;
}
