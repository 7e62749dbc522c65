/** Outcome of one request as its caller sees it. */
export enum RequestOutcome {
  /** Complete answer that belongs to the request. */
  Answered = 'answered',
  /** Answer of the backend server with an error status. */
  Failed = 'failed',
  /** Refused, with the statement that the call did not run. */
  RefusedNotRun = 'refused-not-run',
  /** Refused; whether the call ran is unknown. */
  RefusedUnknown = 'refused-unknown',
  NoResponse = 'no-response',
  /** Answer that is cut off, changed or belongs to another request. */
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
  /** Time since the planned time of sending, so that a wait for a connection is included. */
  readonly latencyMs: number;
  /** Reason of a refusal or error, or what is wrong with an answer. */
  readonly detail: string;
}
