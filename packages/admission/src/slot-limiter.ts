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

/** Decides how many calls run on the own backend server at a time. */
export interface SlotLimiter {
  /** Number of calls that may run at a time now, at least 1 and at most `slots`. */
  slotsNow(slots: number): number;
  recordEnded(call: EndedCall): void;
  /** Begins a ramp, because the backend server was started or restarted and is cold. */
  beginColdStart(): void;
  /** Evaluates the calls that ended since the last step and those that run; runs each tick. */
  step(slots: number, running: Iterable<RunningCall>): void;
}

/** Share of the slots that a cold backend server gets at first. */
export const coldStartShare = 0.1;
/** A latency above this many times the history marks the backend server as cold. */
export const coldLatencyRatio = 2.5;
/** The slots grow while the latency is at most this many times the history. */
export const warmLatencyRatio = 1.5;
/** Share of the slots that a backend server keeps when it turns cold while it runs. */
export const coldServerSlotShare = 0.3;
/** Shortest time between two changes of the slots. */
export const windowMinMs = 300;
/** Ended calls that a window needs before it is evaluated; fewer are noise. */
export const windowMinCalls = 10;
/** Fewest overdue running calls that mark the backend server as cold. */
export const overdueMinCalls = 3;
/** Consecutive overdue steps that mark it as cold; a single one may follow a pause of the process. */
export const overdueMinSteps = 3;
/** Growth of the slots per window with a warm latency. */
export const slotGrowthFactor = 1.5;
/** A reduction of the slots must lower the latency to this share, or load is not the cause of it. */
export const improvedLatencyRatio = 0.85;
/** Shortest time of a ramp from a cold start to all slots. */
export const rampMinMs = 3000;
