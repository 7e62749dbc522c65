/** Windows of the report; the longest is what a node keeps. */
export const burnWindows = [
  { name: '5 min', minutes: 5 },
  { name: '1 h', minutes: 60 },
  { name: '6 h', minutes: 360 },
] as const;

/** Length of one point of the plots. */
export const plotPointMinutes = 10;

/** Calls that met or missed an objective. */
export interface BurnCounts {
  readonly good: number;
  readonly bad: number;
}

/** Counts of one service on one node, or of several nodes after a merge. */
export interface ServiceBurn {
  readonly targetPercent: number;
  readonly latencyMs: number;
  readonly windowDays: number;
  /** In the order of `burnWindows`. */
  readonly windows: readonly BurnCounts[];
  /** Counts of `plotPointMinutes` each, by the number of such periods since the Unix epoch. */
  readonly points: Readonly<Record<number, BurnCounts>>;
}

/** Answer to the fleet query `BurnWindows`, by service. */
export type BurnAnswer = Readonly<Record<string, ServiceBurn>>;

/** One window of one service in the report. */
export interface BurnWindowRow extends BurnCounts {
  readonly name: string;
  /** Bad part of the calls over the part that the objective allows; 1 spends exactly the budget. */
  readonly burnRate: number;
}

/** One service in the report. */
export interface BurnServiceRow {
  readonly service: string;
  readonly targetPercent: number;
  readonly latencyMs: number;
  readonly windowDays: number;
  readonly windows: readonly BurnWindowRow[];
  /** Part of the last 6 hours' own budget that is left; negative if it is overspent. */
  readonly budgetLeftPercent: number;
  /** Part of the whole objective window's budget that the last 6 hours spent. */
  readonly objectiveSpentPercent: number;
  /** Burn rate of each `plotPointMinutes` that had calls. */
  readonly points: readonly { readonly atUnixMs: number; readonly burnRate: number }[];
}

/** The burn report: what `report burn --json` prints. */
export interface BurnReport {
  readonly atUnixMs: number;
  readonly answeredNodes: number;
  readonly totalNodes: number;
  readonly missingNodeIds: readonly string[];
  /** Worst first: highest burn rate over 1 h, then over 6 h. */
  readonly services: readonly BurnServiceRow[];
}
