import { BodyChannel } from '@sequoiafield/transport';
import { RefusalReason, type CallOpen } from '@sequoiafield/types';
import { Client, Pool, type Dispatcher } from 'undici';
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
 * so it uses the pool. A non-idempotent request opens a connection after the decision to send it,
 * carries `connection: close`, and is never sent a second time; no idle connection is involved.
 */
export class UndiciBackendClient implements BackendClient {
  readonly #pool: Pool;

  readonly #classifier: FailureClassifier;

  constructor(private readonly options: BackendClientOptions) {
    this.#classifier = options.classifier ?? new WrittenClassifier();
    this.#pool = new Pool(options.origin, {
      connections: options.connectionsMax,
      pipelining: 1,
      keepAliveTimeout: keepAliveTimeoutMs,
      connect: { timeout: connectTimeoutMs },
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  async send(
    open: CallOpen,
    remainingMs: number,
    body: AsyncIterable<Uint8Array>,
    signal: AbortSignal,
    onEnd: (end: BackendEnd) => void,
  ): Promise<BackendResult> {
    const isPooled = open.isIdempotent || this.options.usesFreshConnections === false;
    const dispatcher = isPooled ? this.#pool : this.#openClient();
    const hasBody = open.method !== 'HEAD';
    const exchange = new BackendExchange(open.isIdempotent, hasBody, this.#classifier);
    const onAbort = (): void => exchange.abort(RefusalReason.Cancelled);
    signal.addEventListener('abort', onAbort);
    exchange.onceEnded((end) => {
      signal.removeEventListener('abort', onAbort);
      if (!isPooled) dispatcher.destroy().catch(() => undefined);
      onEnd(end);
    });
    const whole = body instanceof BodyChannel ? body.takeWhole() : undefined;
    dispatcher.dispatch(
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
    await this.#pool.destroy();
  }

  #toUndiciBody(
    whole: Uint8Array | undefined,
    body: AsyncIterable<Uint8Array>,
  ): Dispatcher.DispatchOptions['body'] {
    if (whole) return whole.byteLength === 0 ? null : whole;
    // `undici` takes async iterables, which its type of a body leaves out.
    return body as Dispatcher.DispatchOptions['body'];
  }

  #openClient(): Client {
    return new Client(this.options.origin, {
      pipelining: 1,
      connect: { timeout: connectTimeoutMs },
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }
}
