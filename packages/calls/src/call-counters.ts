/** Counters of the call path since the start of the node, which exports them as metrics. */
export class CallCounters {
  callsStarted = 0;

  /** Requests whose connection may have waited too long to be accepted. */
  requestsLate = 0;

  /** Requests that were dropped because their caller had closed the connection. */
  requestsAbandoned = 0;

  callsAnswered = 0;

  callsNotRun = 0;

  callsUnknown = 0;

  retries = 0;

  attemptsDirect = 0;

  attemptsLinked = 0;

  /** Answers whose body failed after the head was sent to the caller. */
  answersCut = 0;

  backendRequests = 0;

  backendFailures = 0;
}
