/** What the caller knows about one request at the end. */
export enum RequestOutcome {
  /** Whole answer to its own request. */
  Answered = 'answered',
  /** Answer with an error status of the backend server. */
  Failed = 'failed',
  /** Refused, and said not to have run. */
  RefusedNotRun = 'refused-not-run',
  /** Refused without knowledge whether it ran. */
  RefusedUnknown = 'refused-unknown',
  NoResponse = 'no-response',
  /** Answer that is cut off or belongs to another request. */
  WrongAnswer = 'wrong-answer',
}

/** Record of one request; one JSON line in the results file. */
export interface OutcomeRecord {
  readonly requestId: string;
  /** Name of the route, such as `GET /tabs/{n}`. */
  readonly route: string;
  readonly isIdempotent: boolean;
  readonly outcome: RequestOutcome;
  readonly status: number;
  /** From the planned time of sending, so that a caller that waits for a connection counts too. */
  readonly latencyMs: number;
  /** Reason of a refusal or what is wrong with an answer. */
  readonly detail: string;
}
