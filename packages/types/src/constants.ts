/** Header with the time that the caller still waits, in ms. */
export const deadlineHeader = 'x-sequoiafield-deadline-ms';
/** Header with the id of a request, kept along a chain of calls. */
export const requestIdHeader = 'x-sequoiafield-request-id';
/** Header of a refusal: `not-run` or `unknown`. */
export const outcomeHeader = 'x-sequoiafield-outcome';
/** Header of a refusal with its reason. */
export const reasonHeader = 'x-sequoiafield-reason';
/** Interval of the tick loop. */
export const tickIntervalMs = 100;
/** Largest body of a call in either direction. */
export const bodyMaxBytes = 8 * 1024 * 1024;
/** A loop paused for longer treats its view as stale until it is refreshed. */
export const stalePauseMs = 2000;
