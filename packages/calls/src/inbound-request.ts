import type { IncomingMessage } from 'node:http';
import type { CallProtocol } from './call-protocol.js';

/** Largest deadline that a caller may ask for; attempt ids are kept for as long. */
const deadlineMaxMs = 5 * 60 * 1000;

/**
 * Time that a call may take: the route's deadline, or less if the caller waits for less. A header that
 * is not a number is ignored.
 *
 * @example
 * const deadlineMs = readDeadlineMs(request, route.deadlineMs, protocol);
 */
export const readDeadlineMs = (
  request: IncomingMessage,
  routeDeadlineMs: number,
  protocol: CallProtocol,
): number => {
  const header = request.headers[protocol.deadlineHeader];
  const waitsMs = typeof header === 'string' && header.trim() !== '' ? Number(header) : NaN;
  const limitMs = Math.min(routeDeadlineMs, deadlineMaxMs);
  return Number.isFinite(waitsMs) ? Math.min(waitsMs, limitMs) : limitMs;
};

/** Request id of the caller, or undefined. */
export const readRequestId = (
  request: IncomingMessage,
  protocol: CallProtocol,
): string | undefined => {
  const header = request.headers[protocol.requestIdHeader];
  return typeof header === 'string' && header !== '' ? header : undefined;
};

/**
 * Path of a request target without its query.
 *
 * @example
 * pathOf('/tabs/7?full=1'); // '/tabs/7'
 */
export const pathOf = (target: string): string => {
  const queryAt = target.indexOf('?');
  return queryAt < 0 ? target : target.slice(0, queryAt);
};
