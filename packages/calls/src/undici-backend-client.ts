import { BodyChannel } from '@sequoiafield/transport';
import { monotonicNowMs } from '@sequoiafield/tables';
import { RefusalReason, type CallOpen, type CancelSignal } from '@sequoiafield/types';
import { Pool, type Dispatcher } from 'undici';
import type { BackendClient, BackendRequestOutcome, BackendResult } from './backend-client.js';
import { BackendExchange } from './backend-exchange.js';
import { WrittenFailureClassifier, type FailureClassifier } from './failure-classifier.js';
import { DefaultCallProtocol, type CallProtocol } from './call-protocol.js';
import { openWatchedClient, type WatchedClient } from './keep-alive-connection.js';
import { KeepAliveConnectionPool } from './keep-alive-connection-pool.js';

/** Idle time after which this side drops a kept-alive connection, well under common server limits. */
const keepAliveTimeoutMs = 2000;
const connectTimeoutMs = 1000;

const connectionOptions = {
  pipelining: 1,
  keepAliveTimeout: keepAliveTimeoutMs,
  connect: { timeout: connectTimeoutMs },
  headersTimeout: 0,
  bodyTimeout: 0,
};

/** Options of the client of the own backend server. */
export interface BackendClientOptions {
  /** Such as `http://127.0.0.1:8080`. */
  readonly origin: string;
  readonly connectionsMax: number;
  readonly classifier?: FailureClassifier;
  /**
   * Connections of non-idempotent requests: unset, they are used again as `KeepAliveConnectionPool` says;
   * true, each request gets its own, also from a server that closes earlier than it advertised; false,
   * any kept-alive connection is used, by which tests show the lost requests that the rule prevents.
   */
  readonly usesFreshConnections?: boolean;
  /**
   * Sends idempotent requests on the connections of the others as well, which are watched for resets.
   * Needed where answers may have no length. False by default.
   */
  readonly watchesAllConnections?: boolean;
  /** Time for a connection to the backend server; 1,000 ms by default. */
  readonly connectTimeoutMs?: number;
  /** `DefaultCallProtocol` unless given. */
  readonly protocol?: CallProtocol;
  /** Id of the server that requests are meant for; empty if unknown. */
  readonly serverId?: () => string;
  /** Answers up to this size are read to their end before they are handed on; 0 by default. */
  readonly bufferedAnswerMaxBytes?: number;
  /**
   * Lets a non-idempotent request that was written run to its end although its caller left. Breaking
   * it off would leave its outcome in doubt. False by default.
   */
  readonly finishesNonIdempotent?: boolean;
}

/** Headers of the request to the backend server, names and values in turn. */
const requestHeaders = (
  protocol: CallProtocol,
  open: CallOpen,
  remainingMs: number,
  serverId: string,
  isWhole: boolean,
): string[] => {
  const headers: string[] = [];
  for (const [name, value] of protocol.backendHeaders(open, remainingMs, serverId)) {
    headers.push(name, value);
  }
  for (const [name, value] of open.headers) {
    // The HTTP client sets the length of a body that is held as a whole.
    if (!isWhole || name !== 'content-length') headers.push(name, value);
  }
  return headers;
};

/**
 * Client of the own backend server.
 *
 * Keep-alive race: a server may close an idle connection at the moment a request is written to it.
 * The request is then lost without a trace of whether it ran. An idempotent request may run again,
 * so it uses the pool with kept-alive connections. A non-idempotent request is never written a second
 * time, and uses a connection again only while the server has promised to keep it open.
 */
export class UndiciBackendClient implements BackendClient {
  readonly #pool: Pool;

  /** Every request of it has `reset` set, so that its connection is destroyed after the answer. */
  readonly #freshPool: Pool;

  readonly #proven: KeepAliveConnectionPool;

  readonly #classifier: FailureClassifier;

  readonly #protocol: CallProtocol;

  constructor(private readonly options: BackendClientOptions) {
    this.#classifier = options.classifier ?? new WrittenFailureClassifier();
    this.#protocol = options.protocol ?? new DefaultCallProtocol();
    this.#pool = this.#openPool();
    this.#freshPool = this.#openPool();
    this.#proven = new KeepAliveConnectionPool(options.connectionsMax, () => this.#openClient());
  }

  async send(
    open: CallOpen,
    remainingMs: number,
    body: AsyncIterable<Uint8Array>,
    signal: CancelSignal,
    onEnd: (end: BackendRequestOutcome) => void,
  ): Promise<BackendResult> {
    const {
      finishesNonIdempotent = false,
      bufferedAnswerMaxBytes: wholeAnswerMaxBytes = 0,
      serverId,
    } = this.options;
    const exchange = new BackendExchange(open, {
      classifier: this.#classifier,
      protocol: this.#protocol,
      bufferedAnswerMaxBytes: wholeAnswerMaxBytes,
    });
    const onAbort = (): void => {
      const isLeftToRun = finishesNonIdempotent && !open.isIdempotent && exchange.writtenAtMs > 0;
      if (!isLeftToRun) exchange.abort(RefusalReason.Cancelled);
    };
    signal.addEventListener('abort', onAbort);
    // The sender's cancel may be lost with its link, so the deadline is kept here as well.
    const timer = setTimeout(() => exchange.abort(RefusalReason.DeadlinePassed), remainingMs);
    exchange.onceEnded((end) => {
      clearTimeout(timer);
      signal.removeEventListener('abort', onAbort);
      onEnd(end);
    });
    const whole = body instanceof BodyChannel ? body.takeWhole() : undefined;
    const request: Dispatcher.DispatchOptions = {
      method: open.method,
      path: open.path,
      headers: requestHeaders(
        this.#protocol,
        open,
        remainingMs,
        serverId?.() ?? '',
        whole !== undefined,
      ),
      body: this.#toUndiciBody(whole, body),
    };
    this.#dispatch(request, exchange, open.isIdempotent, monotonicNowMs() + remainingMs);
    return exchange.result;
  }

  async close(): Promise<void> {
    const parts = [this.#pool, this.#freshPool, this.#proven];
    await Promise.all(parts.map((part) => part.destroy()));
  }

  #dispatch(
    request: Dispatcher.DispatchOptions,
    exchange: BackendExchange,
    isIdempotent: boolean,
    deadlineAtMs: number,
  ): void {
    const { usesFreshConnections } = this.options;
    const usesPool = isIdempotent && this.options.watchesAllConnections !== true;
    if (usesPool || usesFreshConnections === false) this.#pool.dispatch(request, exchange);
    else if (usesFreshConnections) this.#freshPool.dispatch({ ...request, reset: true }, exchange);
    else this.#proven.dispatch(request, exchange, deadlineAtMs);
  }

  #toUndiciBody(
    whole: Uint8Array | undefined,
    body: AsyncIterable<Uint8Array>,
  ): Dispatcher.DispatchOptions['body'] {
    if (whole) return whole.byteLength === 0 ? null : whole;
    // `undici` takes async iterables, which its type of a body leaves out.
    return body as Dispatcher.DispatchOptions['body'];
  }

  #openPool(): Pool {
    return new Pool(this.options.origin, {
      ...connectionOptions,
      connections: this.options.connectionsMax,
    });
  }

  #openClient(): WatchedClient {
    const { connect, ...options } = connectionOptions;
    const timeoutMs = this.options.connectTimeoutMs ?? connect.timeout;
    return openWatchedClient(this.options.origin, options, timeoutMs);
  }
}
