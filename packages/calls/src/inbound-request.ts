import type { IncomingMessage } from 'node:http';
import type { Router } from '@sequoiafield/types';
import type { CallProtocol } from './call-protocol.js';

/** Longest deadline that a caller may request; attempt ids are stored for the same time. */
const deadlineMaxMs = 5 * 60 * 1000;

/** Returns the time that the caller states to wait, or undefined if it states no number. */
export const readCallerDeadlineMs = (
  request: IncomingMessage,
  protocol: Pick<CallProtocol, 'deadlineHeader'>,
): number | undefined => {
  const header = request.headers[protocol.deadlineHeader];
  if (typeof header !== 'string' || header.trim() === '') return undefined;
  const deadlineMs = Number(header);
  return Number.isFinite(deadlineMs) ? deadlineMs : undefined;
};

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
  const limitMs = Math.min(routeDeadlineMs, deadlineMaxMs);
  return Math.min(readCallerDeadlineMs(request, protocol) ?? limitMs, limitMs);
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
 * Returns the key that the caller sent, or undefined. Keys may hold any characters; their UTF-8 bytes
 * arrive as Latin-1 text.
 */
export const readKey = (
  request: IncomingMessage,
  protocol: Pick<CallProtocol, 'keyHeader'>,
): string | undefined => {
  const header = protocol.keyHeader === undefined ? '' : request.headers[protocol.keyHeader];
  if (typeof header !== 'string' || header === '') return undefined;
  return Buffer.from(header, 'latin1').toString('utf8');
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
