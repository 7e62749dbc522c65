/** How one call on the own backend server ended. */
export interface EndedCall {
  readonly route: string;
  readonly hasFailed: boolean;
  readonly latencyMs: number;
}

/** Call that runs on the own backend server. */
export interface RunningCall {
  readonly route: string;
  readonly startedAtMs: number;
}

/** Decides how many calls the own backend server gets at a time. */
export interface SlotLimiter {
  /** Calls at a time now, at least 1 and at most `slots`. */
  slotsNow(slots: number): number;
  recordEnded(call: EndedCall): void;
  /** The backend server was started (again) and is cold. */
  beginColdStart(): void;
  /** Evaluates the calls since the last step and those that run; run each tick. */
  step(slots: number, running: Iterable<RunningCall>): void;
}

/** Share of the slots that a cold backend server gets at first. */
export const coldStartShare = 0.1;
/** A latency of this many times the history is taken for a cold backend server. */
export const coldLatencyRatio = 2.5;
/** The ramp goes on while latency stays under this many times the history. */
export const warmLatencyRatio = 1.5;
/** Share of the slots kept when the backend server turned cold while it ran. */
export const coldServerSlotShare = 0.3;
/** Shortest time between two changes of the slots. */
export const windowMinMs = 300;
/** Ended calls that a window needs before it decides; fewer are noise. */
export const windowMinCalls = 10;
/** Fewest running calls that show by their age that the backend server turned cold. */
export const overdueMinCalls = 3;
/** Steps in a row that must show it; in a single one the process may just have been paused. */
export const overdueMinSteps = 3;
/** Growth of the slots per window that looked well. */
export const slotGrowthFactor = 1.5;
/** Fewer slots must lower latency to this share, or else the slots are not its cause. */
export const improvedLatencyRatio = 0.85;
/** A whole warm start takes at least this long. */
export const rampMinMs = 3000;
