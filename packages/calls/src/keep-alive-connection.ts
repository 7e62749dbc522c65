import { monotonicNowMs } from '@sequoiafield/tables';
import { buildConnector, Client } from 'undici';
import type { BackendExchange } from './backend-exchange.js';

/**
 * Longest time since the last request for which a connection is used again. A server that stops
 * without notice closes its idle connections before their advertised time, so the time is kept short.
 */
const reuseMaxMs = 1000;

/**
 * Client whose connection is watched for errors. `undici` takes what came before a reset for a whole
 * answer if the answer has no length (`onHttpSocketError` in its HTTP/1.1 client).
 *
 * @example
 * const watched = openWatchedClient('http://127.0.0.1:8080', { pipelining: 1 }, 1000);
 */
export const openWatchedClient = (
  origin: string,
  options: Client.Options,
  connectTimeoutMs: number,
): WatchedClient => {
  const watch = { hasErrored: false };
  const connector = buildConnector({ timeout: connectTimeoutMs });
  const client = new Client(origin, {
    ...options,
    connect: (target, callback) =>
      connector(target, (...result) => {
        const socket = result[1];
        // Registered before the listeners of `undici`, so that the answer's end sees it.
        socket?.on('error', () => {
          watch.hasErrored = true;
        });
        socket?.on('end', () => {
          // Where a reset arrives in one poll with the last bytes, libuv reports an end instead
          // (`uv__stream_io`). A connection that was reset has no peer any more.
          if (socket.remoteAddress === undefined) watch.hasErrored = true;
        });
        callback(...result);
      }),
  });
  return { client, hasErrored: () => watch.hasErrored };
};

/** A client and whether its connection ended with an error. */
export interface WatchedClient {
  readonly client: Client;
  readonly hasErrored: () => boolean;
}

/** One connection, used for one request at a time. */
export class KeepAliveConnection {
  /** Until when the server promised to keep the connection open; 0 if it made no promise. */
  #keptUntilMs = 0;

  #lastWrittenAtMs = 0;

  constructor(private readonly watched: WatchedClient) {}

  get client(): Client {
    return this.watched.client;
  }

  /** Whether the connection ended with an error, such as a reset. */
  get hasErrored(): boolean {
    return this.watched.hasErrored();
  }

  /** Notes the request that ended last; false if the connection cannot be used again. */
  recordExchangeEnd(exchange: BackendExchange): boolean {
    this.#keptUntilMs = exchange.keepAliveUntilMs;
    this.#lastWrittenAtMs = exchange.writtenAtMs;
    return this.#keptUntilMs > 0;
  }

  /** Whether a request with this deadline may use the connection. */
  isOpenUntil(deadlineAtMs: number): boolean {
    const isRecent = monotonicNowMs() - this.#lastWrittenAtMs <= reuseMaxMs;
    return isRecent && this.#keptUntilMs > deadlineAtMs;
  }
}
