import { monotonicNowMs } from '@sequoiafield/tables';
import { bodyMaxBytes } from '@sequoiafield/types';
import type { Socket } from 'node:net';
import { CallError } from '@sequoiafield/errors';
import { buildConnector, Client } from 'undici';
import type { BackendExchange } from './backend-exchange.js';

/**
 * Longest time since the last request after which a connection is reused. It is short, because a
 * server that stops without notice closes its idle connections before their advertised time.
 */
const reuseDelayMaxMs = 1000;

/** Bytes of a whole answer at most: the largest body, its framing and the head. */
const answerMaxBytes = bodyMaxBytes + 1024 * 1024;

interface WatchedState {
  hasErrored: boolean;
  socket: Socket | undefined;
  readBytesMax: number;
}

/**
 * Creates a client whose connection is watched for errors. If an answer has no length, `undici`
 * takes the part before a reset for the complete answer (`onHttpSocketError` in its HTTP/1.1
 * client).
 *
 * @example
 * const watched = openWatchedClient('http://127.0.0.1:8080', { pipelining: 1 }, 1000);
 */
export const openWatchedClient = (
  origin: string,
  options: Client.Options,
  connectTimeoutMs: number,
): WatchedClient => {
  const state: WatchedState = { hasErrored: false, socket: undefined, readBytesMax: 0 };
  const expectAnswer = (): void => {
    state.readBytesMax = (state.socket?.bytesRead ?? 0) + answerMaxBytes;
  };
  const connector = buildConnector({ timeout: connectTimeoutMs });
  const client = new Client(origin, {
    ...options,
    connect: (target, callback) =>
      connector(target, (...result) => {
        const socket = result[1];
        state.socket = socket ?? undefined;
        // Parsers skip empty lines and the extensions of chunks without counting them.
        socket?.on('readable', () => {
          if (socket.bytesRead <= state.readBytesMax) return;
          socket.destroy(new CallError(`The server sent over ${answerMaxBytes} bytes`));
        });
        // Registered before the listeners of `undici`, so that the flag is set when the answer
        // ends.
        socket?.on('error', () => {
          state.hasErrored = true;
        });
        socket?.on('end', () => {
          // If a reset arrives in one poll with the last bytes, libuv reports an end instead
          // (`uv__stream_io`). A connection that was reset no longer has a remote address.
          if (socket.remoteAddress === undefined) state.hasErrored = true;
        });
        callback(...result);
      }),
  });
  return { client, hasErrored: () => state.hasErrored, expectAnswer };
};

/** A client and whether its connection ended with an error. */
export interface WatchedClient {
  readonly client: Client;
  readonly hasErrored: () => boolean;
  /** Allows the bytes of one answer from now on; the connection closes when more arrive. */
  readonly expectAnswer: () => void;
}

/** Connection to the backend server that carries one request at a time. */
export class KeepAliveConnection {
  /** Time until which the server advertised to keep the connection open; 0 if it did not. */
  #keepAliveUntilMs = 0;

  #lastWrittenAtMs = 0;

  constructor(private readonly watched: WatchedClient) {}

  get client(): Client {
    return this.watched.client;
  }

  /** Prepares the connection for the answer to the next request. */
  expectAnswer(): void {
    this.watched.expectAnswer();
  }

  /** Whether the connection ended with an error, such as a reset. */
  get hasErrored(): boolean {
    return this.watched.hasErrored();
  }

  /** Records the exchange that ended last; returns false if the connection cannot be reused. */
  recordExchangeEnd(exchange: BackendExchange): boolean {
    this.#keepAliveUntilMs = exchange.keepAliveUntilMs;
    this.#lastWrittenAtMs = exchange.writtenAtMs;
    return this.#keepAliveUntilMs > 0;
  }

  /** Whether a request with this deadline may use the connection. */
  isReusableUntil(deadlineAtMs: number): boolean {
    const isRecent = monotonicNowMs() - this.#lastWrittenAtMs <= reuseDelayMaxMs;
    return isRecent && this.#keepAliveUntilMs > deadlineAtMs;
  }
}
