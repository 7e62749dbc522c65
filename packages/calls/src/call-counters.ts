/** Counts of a call path since its start; the node exports them as metrics. */
export class CallCounters {
  callsStarted = 0;

  callsAnswered = 0;

  callsNotRun = 0;

  callsUnknown = 0;

  retries = 0;

  attemptsDirect = 0;

  attemptsLinked = 0;

  /** Answers whose body broke off after the head was sent to the caller. */
  answersCut = 0;

  backendRequests = 0;

  backendFailures = 0;
}
