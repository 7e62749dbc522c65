import { replayableBodyMaxBytes } from './body-memory.js';
import type { HeaderPair } from './call-protocol.js';

/** Statuses whose answers never have a body (RFC 9110, section 6.4.1). */
export const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** Hop-by-hop headers (RFC 9110, section 7.6.1); they are not forwarded. */
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
 * Returns the headers to forward, without hop-by-hop headers and without those that only nodes set.
 * Takes names and values in turn and returns the names in lower case.
 *
 * @example
 * const headers = forwardHeaders(request.rawHeaders, protocol.nodeOnlyRequestHeaders);
 */
export const forwardHeaders = (
  raw: readonly string[],
  nodeOnlyHeaders: ReadonlySet<string>,
): HeaderPair[] => {
  const pairs: HeaderPair[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index]!.toLowerCase();
    if (!hopByHopHeaders.has(name) && !nodeOnlyHeaders.has(name))
      pairs.push([name, raw[index + 1]!]);
  }
  return pairs;
};

/**
 * Adds the length of a body that is held whole, if its caller sent none; the node beside the backend
 * server decides by the length whether it waits for the body.
 */
export const addLength = (headers: HeaderPair[], body: unknown): void => {
  if (!(body instanceof Uint8Array) || body.byteLength <= replayableBodyMaxBytes) return;
  if (headers.some(([name]) => name === 'content-length')) return;
  headers.push(['content-length', String(body.byteLength)]);
};

/** Converts names and values in turn to pairs, with the names in lower case. */
export const pairHeaders = (raw: readonly string[]): HeaderPair[] => {
  const pairs: HeaderPair[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    pairs.push([raw[index]!.toLowerCase(), raw[index + 1]!]);
  }
  return pairs;
};

/**
 * Returns the time for which a server keeps an idle connection open, from its `Keep-Alive: timeout`
 * parameter; 0 if that is missing or the server closes the connection. Takes names and values in
 * turn.
 *
 * @example
 * readKeepAliveMs(['Keep-Alive', 'timeout=5']); // 5000
 */
export const readKeepAliveMs = (raw: readonly string[]): number => {
  let keepAliveMs = 0;
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index]!.toLowerCase();
    if (name === 'connection' && /\bclose\b/i.test(raw[index + 1]!)) return 0;
    if (name === 'keep-alive') {
      keepAliveMs = 1000 * Number(/\btimeout=(\d{1,9})\b/i.exec(raw[index + 1]!)?.[1] ?? 0);
    }
  }
  return keepAliveMs;
};
