import {
  deadlineHeader,
  outcomeHeader,
  reasonHeader,
  requestIdHeader,
  type CallOpen,
} from '@sequoiafield/types';

/** Header and its value as they travel between nodes. */
export type HeaderPair = readonly [string, string];

/** Header with which a backend server says that it did not run a request. */
export const backendRefusedHeader = 'x-backend-refused';
/** Value of `backendRefusedHeader`; anything else says nothing. */
export const backendRefusedNotRun = 'not-run';

/** Statuses whose answers never have a body (RFC 9110, section 6.4.1). */
export const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** Headers of one hop (RFC 9110, section 7.6.1); they are not forwarded. */
const hopByHopHeaders = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Headers of a request that each node sets itself. */
const ownRequestHeaders = new Set([deadlineHeader, requestIdHeader, 'host', 'expect']);

/**
 * Headers of an answer that only nodes set. A backend server that passes on a refusal of its own
 * upstream must not make this node's caller believe that its request did not run.
 */
const ownAnswerHeaders = new Set([
  outcomeHeader,
  reasonHeader,
  requestIdHeader,
  backendRefusedHeader,
]);

const selectHeaders = (raw: readonly string[], own: ReadonlySet<string>): HeaderPair[] => {
  const pairs: HeaderPair[] = [];
  for (let at = 0; at + 1 < raw.length; at += 2) {
    const name = raw[at]!.toLowerCase();
    if (!hopByHopHeaders.has(name) && !own.has(name)) pairs.push([name, raw[at + 1]!]);
  }
  return pairs;
};

/**
 * Headers of an inbound request that are forwarded; takes names and values in turn.
 *
 * @example
 * const headers = forwardRequestHeaders(request.rawHeaders);
 */
export const forwardRequestHeaders = (raw: readonly string[]): HeaderPair[] =>
  selectHeaders(raw, ownRequestHeaders);

/**
 * Headers of a backend server's answer that are forwarded; takes names and values in turn.
 *
 * @example
 * const headers = forwardAnswerHeaders(['content-type', 'text/plain']);
 */
export const forwardAnswerHeaders = (raw: readonly string[]): HeaderPair[] =>
  selectHeaders(raw, ownAnswerHeaders);

/**
 * Headers of the request to the backend server, names and values in turn. The length of a body that
 * is held as a whole is set by the HTTP client.
 *
 * @example
 * const headers = backendRequestHeaders(open, 250, true);
 */
export const backendRequestHeaders = (
  open: CallOpen,
  remainingMs: number,
  isWhole: boolean,
): string[] => {
  const headers = [
    deadlineHeader,
    String(Math.max(1, Math.floor(remainingMs))),
    requestIdHeader,
    open.requestId,
  ];
  for (const [name, value] of open.headers) {
    if (!isWhole || name !== 'content-length') headers.push(name, value);
  }
  return headers;
};

/** Value of a header of an answer, or undefined. */
export const findHeader = (pairs: readonly HeaderPair[], name: string): string | undefined =>
  pairs.find(([other]) => other === name)?.[1];

/**
 * Time for which a server keeps an idle connection open, from its `Keep-Alive: timeout` parameter; 0
 * if it names none or closes the connection. Takes names and values in turn.
 *
 * @example
 * readKeepAliveMs(['Keep-Alive', 'timeout=5']); // 5000
 */
export const readKeepAliveMs = (raw: readonly string[]): number => {
  let keepAliveMs = 0;
  for (let at = 0; at + 1 < raw.length; at += 2) {
    const name = raw[at]!.toLowerCase();
    if (name === 'connection' && /\bclose\b/i.test(raw[at + 1]!)) return 0;
    if (name === 'keep-alive') {
      keepAliveMs = 1000 * Number(/\btimeout=(\d{1,9})\b/i.exec(raw[at + 1]!)?.[1] ?? 0);
    }
  }
  return keepAliveMs;
};
