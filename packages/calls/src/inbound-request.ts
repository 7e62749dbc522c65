import type { IncomingMessage } from 'node:http';
import type { Router } from '@sequoiafield/types';
import type { CallProtocol } from './call-protocol.js';

/** Longest deadline that a caller may request; attempt ids are stored for the same time. */
const deadlineMaxMs = 5 * 60 * 1000;

/**
 * Returns the time that a call may take: the route's deadline, or the caller's if that is shorter.
 * A header that is not a number is ignored.
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
  const callerDeadlineMs =
    typeof header === 'string' && header.trim() !== '' ? Number(header) : NaN;
  const limitMs = Math.min(routeDeadlineMs, deadlineMaxMs);
  return Number.isFinite(callerDeadlineMs) ? Math.min(callerDeadlineMs, limitMs) : limitMs;
};

/** Returns the request id that the caller sent, or undefined. */
export const readRequestId = (
  request: IncomingMessage,
  protocol: CallProtocol,
): string | undefined => {
  const header = request.headers[protocol.requestIdHeader];
  return typeof header === 'string' && header !== '' ? header : undefined;
};

/**
 * Returns the path of a request target without its query.
 *
 * @example
 * pathOf('/tabs/7?full=1'); // '/tabs/7'
 */
export const pathOf = (target: string): string => {
  const queryIndex = target.indexOf('?');
  return queryIndex < 0 ? target : target.slice(0, queryIndex);
};

/**
 * Returns whether a request may run twice; one without a route does not run.
 *
 * @example
 * mayRunTwice(request, router);
 */
export const mayRunTwice = (request: IncomingMessage, router: Router): boolean => {
  const { method = 'GET', url = '/', headers } = request;
  const [path, host] = [pathOf(url), headers.host ?? ''];
  if (router.isIdempotent) return router.isIdempotent(path, host);
  return router.match(method, path, host)?.route.isIdempotent ?? true;
};
