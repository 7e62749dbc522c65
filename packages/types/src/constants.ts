/** Header with the remaining time for which the caller waits, in ms. */
export const deadlineHeader = 'x-sequoiafield-deadline-ms';
/** Header with the id of a request, passed on along a chain of calls. */
export const requestIdHeader = 'x-sequoiafield-request-id';
/** Header with the key of the caller's account; only the node that receives the request reads it. */
export const accountKeyHeader = 'x-sequoiafield-account-key';
/** Header with the name of the caller's account, for backend servers. */
export const accountHeader = 'x-sequoiafield-account';
/** Header of a refusal with its outcome, `not-run` or `unknown`. */
export const outcomeHeader = 'x-sequoiafield-outcome';
/** Header of a refusal with its reason. */
export const reasonHeader = 'x-sequoiafield-reason';
/** Interval of the tick loop. */
export const tickIntervalMs = 100;
/** Largest body of a call in either direction. */
export const bodyMaxBytes = 8 * 1024 * 1024;
/** After a longer pause of its tick loop, a node treats its view as stale until it is refreshed. */
export const stalePauseMs = 2000;
/** Name of the section with the data centres. */
export const meshSectionName = 'mesh';
/** Keeps a section at 4.4 KB on average and 7.5 KB at most with 1,500 routes. */
const routesSectionCount = 32;
/** Names of the sections of the route index, `routes-00` to `routes-31`. */
export const routesSectionNames: readonly string[] = Array.from(
  { length: routesSectionCount },
  (_, index) => `routes-${String(index).padStart(2, '0')}`,
);
/** Sections that every node holds and every manifest names. */
export const sharedSectionNames: readonly string[] = [meshSectionName, ...routesSectionNames];
