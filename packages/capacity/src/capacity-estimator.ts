/** How a call on the backend server ended, as far as it shows what the server can do. */
export enum CapacityCallEnd {
  Answered = 'answered',
  /** The server failed the call, or sent no answer before the deadline. */
  Failed = 'failed',
  /** The server refused the call without running it. */
  Shed = 'shed',
  /** The caller left, or the call was not sent. */
  Cancelled = 'cancelled',
}

/** Call that runs on the backend server; returned by `begin` and given back to `end`. */
export interface BegunCall {
  readonly route: string;
  readonly beganAtMs: number;
  /** Slot time that all calls of the server had used when this one began, in ms. */
  readonly slotTimeAtBeginMs: number;
}

/** What a node knows about the capacity of the backend server beside it. */
export interface CapacityEstimator {
  /** Speed against the server's own history; 1 is usual, 0.5 half as fast. */
  readonly speed: number;
  /** Returns how many calls the server takes well at a time, at least 1 and at most `slots`. */
  limit(slots: number): number;
  /** Returns the limit for admission at this moment; it differs from `limit` during an experiment. */
  admissionLimit(slots: number): number;
  /** Whether the server is much slower than its history at present. */
  isSlow(): boolean;
  /**
   * Returns the expected time in ms of a call of a route while `runningCalls` run, at the present
   * speed; undefined before the first answer of the route.
   */
  expectedMs(route: string, runningCalls: number): number | undefined;
  /** Records the begin of a call; `runningCalls` run besides it. */
  begin(route: string, runningCalls: number, slots: number): BegunCall;
  /** Records the end of a call. */
  end(call: BegunCall, end: CapacityCallEnd, latencyMs: number): void;
}
