/** Windows of the report; a node keeps the counts of the longest one. */
export const burnWindows = [
  { name: '5 min', minutes: 5 },
  { name: '1 h', minutes: 60 },
  { name: '6 h', minutes: 360 },
] as const;

/** Period that one point of a plot covers. */
export const plotPointMinutes = 10;

/** Numbers of calls that met or missed an objective. */
export interface BurnCounts {
  readonly good: number;
  readonly bad: number;
}

/** Counts of one service on one node, or of several nodes after a merge. */
export interface ServiceBurn {
  readonly targetPercent: number;
  readonly latencyMs: number;
  readonly windowDays: number;
  /** Counts of each window, in the order of `burnWindows`. */
  readonly windows: readonly BurnCounts[];
  /**
   * Counts per period of `plotPointMinutes`, keyed by the number of such periods since the Unix
   * epoch.
   */
  readonly points: Readonly<Record<number, BurnCounts>>;
}

/** Answer to the fleet query `BurnWindows`, by service. */
export type BurnAnswer = Readonly<Record<string, ServiceBurn>>;

/** One window of one service in the report. */
export interface BurnWindowRow extends BurnCounts {
  readonly name: string;
  /**
   * Share of bad calls divided by the share that the objective allows; 1 spends exactly the error
   * budget.
   */
  readonly burnRate: number;
}

/** One service in the report. */
export interface BurnServiceRow {
  readonly service: string;
  readonly targetPercent: number;
  readonly latencyMs: number;
  readonly windowDays: number;
  readonly windows: readonly BurnWindowRow[];
  /** Unspent percentage of the error budget of the last 6 hours; negative if it is overspent. */
  readonly budgetLeftPercent: number;
  /** Percentage of the error budget of the whole objective window that the last 6 hours spent. */
  readonly objectiveSpentPercent: number;
  /** Burn rate of each period of `plotPointMinutes` that had calls. */
  readonly points: readonly { readonly atUnixMs: number; readonly burnRate: number }[];
}

/** Burn report, as printed by `report burn --json`. */
export interface BurnReport {
  readonly atUnixMs: number;
  readonly answeredNodes: number;
  readonly totalNodes: number;
  readonly missingNodeIds: readonly string[];
  /** Sorted worst first: highest burn rate over 1 h, then over 6 h. */
  readonly services: readonly BurnServiceRow[];
}
