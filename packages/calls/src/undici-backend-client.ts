import { BodyChannel } from '@sequoiafield/transport';
import { monotonicNowMs } from '@sequoiafield/tables';
import { RefusalReason, type CallOpen, type CancelSignal } from '@sequoiafield/types';
import { Pool, type Dispatcher } from 'undici';
import type { BackendClient, BackendRequestOutcome, BackendResult } from './backend-client.js';
import type { BodyMemory } from './body-memory.js';
import { BackendExchange } from './backend-exchange.js';
import { WrittenFailureClassifier, type FailureClassifier } from './failure-classifier.js';
import { DefaultCallProtocol, type CallProtocol } from './call-protocol.js';
import { openWatchedClient, type WatchedClient } from './keep-alive-connection.js';
import { KeepAliveConnectionPool } from './keep-alive-connection-pool.js';

/**
 * Idle time after which this side closes a kept-alive connection; well below common server limits.
 */
const keepAliveTimeoutMs = 2000;
const connectTimeoutMs = 1000;

const connectionOptions = {
  pipelining: 1,
  keepAliveTimeout: keepAliveTimeoutMs,
  connect: { timeout: connectTimeoutMs },
  headersTimeout: 0,
  bodyTimeout: 0,
};

/** Options of an `UndiciBackendClient`. */
export interface BackendClientOptions {
  /** Origin of the backend server, such as `http://127.0.0.1:8080`. */
  readonly origin: string;
  readonly connectionsMax: number;
  readonly classifier?: FailureClassifier;
  /**
   * Which connections non-idempotent requests use. Unset: connections are reused by the rule of
   * `KeepAliveConnectionPool`. True: each request gets a new connection, which is also safe with a
   * server that closes connections earlier than it advertised. False: any kept-alive connection is
   * reused; tests use this to show the lost requests that the rule prevents.
   */
  readonly usesFreshConnections?: boolean;
  /**
   * Sends idempotent requests on the connections of non-idempotent ones, which are watched for
   * resets. Needed if answers may have no length. False by default.
   */
  readonly watchesAllConnections?: boolean;
  /** Time limit for connecting to the backend server; 1,000 ms by default. */
  readonly connectTimeoutMs?: number;
  /** Called when the server ended or refused a watched connection that it was not expected to end. */
  readonly onConnectionLost?: () => void;
  /** `DefaultCallProtocol` by default. */
  readonly protocol?: CallProtocol;
  /** Returns the id of the server that requests are meant for; empty if unknown. */
  readonly serverId?: () => string;
  /** Answers up to this size are read completely before they are returned; 0 by default. */
  readonly bufferedAnswerMaxBytes?: number;
  /** Memory for answers whose reader is slow; left out for a fixed bound of each. */
  readonly bodyMemory?: BodyMemory;
  /**
   * Lets a written non-idempotent request run to its end after its caller cancelled, since an abort
   * would make its outcome unknown. False by default.
   */
  readonly completesCancelledNonIdempotent?: boolean;
}

/**
 * Name for TLS, which is not used here. Without it, `undici` matches the host of each request against
 * the pattern of an IPv6 address, which has to be compiled after each start.
 */
const unusedServerName = 'backend-server';

/** Creates the headers of the request to the backend server, names and values in turn. */
const createRequestHeaders = (
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
    // The HTTP client sets the length of a body that is complete in memory.
    if (!isWhole || name !== 'content-length') headers.push(name, value);
  }
  return headers;
};

/**
 * Client of the backend server beside this node.
 *
 * Keep-alive race: a server may close an idle connection at the moment a request is written to it.
 * The request is then lost, and whether it ran is unknown. An idempotent request may run again, so
 * it uses the pool with kept-alive connections. A non-idempotent request is never written a second
 * time, and reuses a connection only while the server has advertised that it stays open.
 */
export class UndiciBackendClient implements BackendClient {
  readonly #pool: Pool;

  /**
   * Requests in this pool have `reset` set, so that their connection is destroyed after the answer.
   */
  readonly #singleUsePool: Pool;

  readonly #keepAlivePool: KeepAliveConnectionPool;

  readonly #classifier: FailureClassifier;

  readonly #protocol: CallProtocol;

  constructor(private readonly options: BackendClientOptions) {
    this.#classifier = options.classifier ?? new WrittenFailureClassifier();
    this.#protocol = options.protocol ?? new DefaultCallProtocol();
    this.#pool = this.#createPool();
    this.#singleUsePool = this.#createPool();
    this.#keepAlivePool = new KeepAliveConnectionPool(
      options.connectionsMax,
      () => this.#createClient(),
      options.onConnectionLost,
    );
  }

  async send(
    open: CallOpen,
    remainingMs: number,
    body: AsyncIterable<Uint8Array>,
    signal: CancelSignal,
    onEnd: (outcome: BackendRequestOutcome) => void,
    onWritten?: () => void,
  ): Promise<BackendResult> {
    const {
      completesCancelledNonIdempotent = false,
      bufferedAnswerMaxBytes = 0,
      serverId,
      bodyMemory,
    } = this.options;
    const exchange = new BackendExchange(open, {
      classifier: this.#classifier,
      protocol: this.#protocol,
      bufferedAnswerMaxBytes,
      ...(bodyMemory ? { bodyMemory } : {}),
    });
    if (onWritten) exchange.onceWritten(onWritten);
    const onAbort = (): void => {
      const mustFinish =
        completesCancelledNonIdempotent && !open.isIdempotent && exchange.writtenAtMs > 0;
      if (!mustFinish) exchange.abort(RefusalReason.Cancelled);
    };
    signal.addEventListener('abort', onAbort);
    // A cancel from the sender may be lost with its link, so the deadline is enforced here as well.
    const timer = setTimeout(() => exchange.abort(RefusalReason.DeadlinePassed), remainingMs);
    exchange.onceEnded((outcome) => {
      clearTimeout(timer);
      signal.removeEventListener('abort', onAbort);
      onEnd(outcome);
    });
    const wholeBody = body instanceof BodyChannel ? body.takeWhole() : undefined;
    const request: Dispatcher.DispatchOptions & { readonly servername: string } = {
      servername: unusedServerName,
      method: open.method,
      path: open.path,
      headers: createRequestHeaders(
        this.#protocol,
        open,
        remainingMs,
        serverId?.() ?? '',
        wholeBody !== undefined,
      ),
      body: this.#toUndiciBody(wholeBody, body),
    };
    this.#dispatchRequest(request, exchange, open.isIdempotent, monotonicNowMs() + remainingMs);
    return exchange.result;
  }

  async close(): Promise<void> {
    const pools = [this.#pool, this.#singleUsePool, this.#keepAlivePool];
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  #dispatchRequest(
    request: Dispatcher.DispatchOptions,
    exchange: BackendExchange,
    isIdempotent: boolean,
    deadlineAtMs: number,
  ): void {
    const { usesFreshConnections } = this.options;
    const usesPool = isIdempotent && this.options.watchesAllConnections !== true;
    if (usesPool || usesFreshConnections === false) this.#pool.dispatch(request, exchange);
    else if (usesFreshConnections)
      this.#singleUsePool.dispatch({ ...request, reset: true }, exchange);
    else this.#keepAlivePool.dispatch(request, exchange, deadlineAtMs);
  }

  #toUndiciBody(
    wholeBody: Uint8Array | undefined,
    body: AsyncIterable<Uint8Array>,
  ): Dispatcher.DispatchOptions['body'] {
    if (wholeBody) return wholeBody.byteLength === 0 ? null : wholeBody;
    // `undici` accepts async iterables, although its type of a body does not include them.
    return body as Dispatcher.DispatchOptions['body'];
  }

  #createPool(): Pool {
    return new Pool(this.options.origin, {
      ...connectionOptions,
      connections: this.options.connectionsMax,
    });
  }

  #createClient(): WatchedClient {
    const { connect, ...options } = connectionOptions;
    const timeoutMs = this.options.connectTimeoutMs ?? connect.timeout;
    return openWatchedClient(this.options.origin, options, timeoutMs);
  }
}
