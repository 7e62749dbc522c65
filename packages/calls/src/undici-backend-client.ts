import { BodyChannel } from '@sequoiafield/transport';
import { RefusalReason, type CallOpen } from '@sequoiafield/types';
import { Pool, type Dispatcher } from 'undici';
import type { BackendClient, BackendEnd, BackendResult } from './backend-client.js';
import { BackendExchange } from './backend-exchange.js';
import { WrittenClassifier, type FailureClassifier } from './failure-classifier.js';
import { backendRequestHeaders } from './headers.js';

/** Idle time after which this side drops a kept-alive connection, well under common server limits. */
const keepAliveTimeoutMs = 2000;
const connectTimeoutMs = 1000;

/** Options of the client of the own backend server. */
export interface BackendClientOptions {
  /** Such as `http://127.0.0.1:8080`. */
  readonly origin: string;
  readonly connectionsMax: number;
  readonly classifier?: FailureClassifier;
  /**
   * Whether non-idempotent requests get a connection of their own. Only tests switch it off, to show
   * the lost requests that it prevents.
   */
  readonly usesFreshConnections?: boolean;
}

/**
 * Client of the own backend server.
 *
 * Keep-alive race: a server may close an idle connection at the moment a request is written to it.
 * The request is then lost without a trace of whether it ran. An idempotent request may run again,
 * so it uses the pool with kept-alive connections. A non-idempotent request goes to a second pool, in
 * which every request has `reset` set: it carries `connection: close`, its connection is destroyed
 * after the answer, and the next request opens one after the decision to send it. No connection of
 * that pool is ever idle, and a request is never written a second time.
 */
export class UndiciBackendClient implements BackendClient {
  readonly #pool: Pool;

  readonly #freshPool: Pool;

  readonly #classifier: FailureClassifier;

  constructor(private readonly options: BackendClientOptions) {
    this.#classifier = options.classifier ?? new WrittenClassifier();
    this.#pool = this.#openPool();
    this.#freshPool = this.#openPool();
  }

  async send(
    open: CallOpen,
    remainingMs: number,
    body: AsyncIterable<Uint8Array>,
    signal: AbortSignal,
    onEnd: (end: BackendEnd) => void,
  ): Promise<BackendResult> {
    const isPooled = open.isIdempotent || this.options.usesFreshConnections === false;
    const pool = isPooled ? this.#pool : this.#freshPool;
    const hasBody = open.method !== 'HEAD';
    const exchange = new BackendExchange(open.isIdempotent, hasBody, this.#classifier);
    const onAbort = (): void => exchange.abort(RefusalReason.Cancelled);
    signal.addEventListener('abort', onAbort);
    // The sender's cancel may be lost with its link, so the deadline is kept here as well.
    const timer = setTimeout(() => exchange.abort(RefusalReason.DeadlinePassed), remainingMs);
    exchange.onceEnded((end) => {
      clearTimeout(timer);
      signal.removeEventListener('abort', onAbort);
      onEnd(end);
    });
    const whole = body instanceof BodyChannel ? body.takeWhole() : undefined;
    pool.dispatch(
      {
        method: open.method,
        path: open.path,
        headers: backendRequestHeaders(open, remainingMs, whole !== undefined),
        body: this.#toUndiciBody(whole, body),
        reset: !isPooled,
      },
      exchange,
    );
    return exchange.result;
  }

  async close(): Promise<void> {
    await Promise.all([this.#pool.destroy(), this.#freshPool.destroy()]);
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
      connections: this.options.connectionsMax,
      pipelining: 1,
      keepAliveTimeout: keepAliveTimeoutMs,
      connect: { timeout: connectTimeoutMs },
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }
}
