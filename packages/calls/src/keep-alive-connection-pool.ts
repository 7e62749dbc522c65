import type { Dispatcher } from 'undici';
import type { BackendExchange } from './backend-exchange.js';
import { KeepAliveConnection, type WatchedClient } from './keep-alive-connection.js';

/** Request that is queued for a connection or is about to be written. */
interface PendingRequest {
  readonly options: Dispatcher.DispatchOptions;
  readonly exchange: BackendExchange;
  readonly deadlineAtMs: number;
}

/**
 * Pool of connections for non-idempotent requests. A connection is reused only if the server
 * advertised with `Keep-Alive: timeout` that it stays open until after the deadline of the new
 * request. The time counts from when the last request was written, which is before the server
 * starts its idle timer. An idle close can therefore only affect a request whose deadline has
 * passed, even if either process is paused for long.
 *
 * @example
 * const connections = new KeepAliveConnectionPool(130, () => openWatchedClient(origin, {}, 1000));
 * connections.dispatch(options, exchange, deadlineAtMs);
 */
export class KeepAliveConnectionPool {
  /** Ordered by last use, the most recently used last. */
  readonly #idleConnections: KeepAliveConnection[] = [];

  readonly #openConnections = new Set<KeepAliveConnection>();

  readonly #queue: PendingRequest[] = [];

  constructor(
    private readonly connectionsMax: number,
    private readonly createClient: () => WatchedClient,
    /** Called when the server ended a kept connection, or one in use before its answer was whole. */
    private readonly onConnectionLost: () => void = () => undefined,
  ) {}

  /** Writes the request to a reusable or new connection; queues it at the connection limit. */
  dispatch(
    options: Dispatcher.DispatchOptions,
    exchange: BackendExchange,
    deadlineAtMs: number,
  ): void {
    const request = { options, exchange, deadlineAtMs };
    const connection = this.#takeConnection(deadlineAtMs);
    if (connection) this.#writeRequest(connection, request);
    else this.#queue.push(request);
  }

  /** Closes all connections at once; running requests fail. */
  async destroy(): Promise<void> {
    await Promise.all([...this.#openConnections].map(({ client }) => client.destroy()));
  }

  #takeConnection(deadlineAtMs: number): KeepAliveConnection | undefined {
    const last = this.#idleConnections.pop();
    if (last?.isReusableUntil(deadlineAtMs)) return last;
    if (last) this.#closeConnection(last);
    return this.#openConnections.size < this.connectionsMax ? this.#createConnection() : undefined;
  }

  #createConnection(): KeepAliveConnection {
    const connection = new KeepAliveConnection(this.createClient());
    this.#openConnections.add(connection);
    connection.client.on('disconnect', () => {
      const index = this.#idleConnections.indexOf(connection);
      if (index < 0) return;
      this.#idleConnections.splice(index, 1);
      this.#closeConnection(connection);
      this.onConnectionLost();
    });
    return connection;
  }

  #writeRequest(connection: KeepAliveConnection, { options, exchange }: PendingRequest): void {
    exchange.useConnection(connection);
    exchange.onceReleased(() => this.#release(connection, exchange));
    connection.expectAnswer();
    connection.client.dispatch(options, exchange);
  }

  #release(connection: KeepAliveConnection, exchange: BackendExchange): void {
    if (exchange.hasLostConnection) this.onConnectionLost();
    if (connection.recordExchangeEnd(exchange)) this.#idleConnections.push(connection);
    else if (exchange.isAnswerWhole) this.#closeConnection(connection);
    else this.#destroyConnection(connection);
    const next = this.#queue.shift();
    if (next) this.dispatch(next.options, next.exchange, next.deadlineAtMs);
  }

  #closeConnection(connection: KeepAliveConnection): void {
    this.#openConnections.delete(connection);
    // No request runs on it; unlike `destroy`, `close` lets the end of the last answer through.
    connection.client.close().catch(() => undefined);
  }

  #destroyConnection(connection: KeepAliveConnection): void {
    this.#openConnections.delete(connection);
    // For an aborted request, `undici` opens a new connection before it drops the request.
    connection.client.destroy().catch(() => undefined);
  }
}
