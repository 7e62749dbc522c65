import type { HeaderPair } from './call-protocol.js';

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

/**
 * Headers that are forwarded: neither those of one hop nor those that only nodes set. Takes names and
 * values in turn and gives the names in lower case.
 *
 * @example
 * const headers = forwardHeaders(request.rawHeaders, protocol.nodeOnlyRequestHeaders);
 */
export const forwardHeaders = (raw: readonly string[], own: ReadonlySet<string>): HeaderPair[] => {
  const pairs: HeaderPair[] = [];
  for (let at = 0; at + 1 < raw.length; at += 2) {
    const name = raw[at]!.toLowerCase();
    if (!hopByHopHeaders.has(name) && !own.has(name)) pairs.push([name, raw[at + 1]!]);
  }
  return pairs;
};

/** Pairs of names in lower case and values, from names and values in turn. */
export const pairHeaders = (raw: readonly string[]): HeaderPair[] => {
  const pairs: HeaderPair[] = [];
  for (let at = 0; at + 1 < raw.length; at += 2) {
    pairs.push([raw[at]!.toLowerCase(), raw[at + 1]!]);
  }
  return pairs;
};

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
