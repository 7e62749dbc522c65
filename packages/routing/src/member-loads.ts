import type { AttemptReport, LoadReport } from '@sequoiafield/types';

/** Load of members as this caller sees it. */
export interface MemberLoads {
  begin(memberId: string): void;
  report(report: AttemptReport): void;
  /** Share of the member's slots in use if it got one more call; over 1 means waiting. */
  loadRatioOf(memberId: string, slots: number): number;
  prune(isKnown: (memberId: string) => boolean): void;
}

/** After this time a report counts for 37 %; load changes within a few service times. */
export const loadDecayMs = 1000;
/** A report of reduced slots is believed for this long; a cold server warms up meanwhile. */
export const reportedSlotsMaxAgeMs = 3000;

/** Last report of one member. */
export interface ReportedLoad {
  readonly load: LoadReport;
  readonly receivedAtMs: number;
  /** Calls of this caller that ran when the report came; they are part of the reported load. */
  readonly ownRunningCalls: number;
}
