import type { Dispatcher } from 'undici';
import type { BackendExchange } from './backend-exchange.js';
import { KeepAliveConnection, type WatchedClient } from './keep-alive-connection.js';

/** Request that waits for a connection or is about to be written. */
interface PendingRequest {
  readonly options: Dispatcher.DispatchOptions;
  readonly exchange: BackendExchange;
  readonly deadlineAtMs: number;
}

/**
 * Connections for non-idempotent requests. A connection is used again only if the server advertised,
 * with `Keep-Alive: timeout`, to keep it open until after the deadline of the new request. The time
 * counts from the last request, before the server starts to count it. An idle close that is due can
 * therefore only meet a request whose deadline has passed, however long either process is paused.
 *
 * @example
 * const connections = new KeepAliveConnectionPool(130, () => openWatchedClient(origin, {}, 1000));
 * connections.dispatch(options, exchange, deadlineAtMs);
 */
export class KeepAliveConnectionPool {
  /** Last used connection last. */
  readonly #idle: KeepAliveConnection[] = [];

  readonly #open = new Set<KeepAliveConnection>();

  readonly #waiting: PendingRequest[] = [];

  constructor(
    private readonly connectionsMax: number,
    private readonly createClient: () => WatchedClient,
  ) {}

  /** Writes the request to a proven connection or to a new one, or queues it at the limit. */
  dispatch(
    options: Dispatcher.DispatchOptions,
    exchange: BackendExchange,
    deadlineAtMs: number,
  ): void {
    const request = { options, exchange, deadlineAtMs };
    const connection = this.#take(deadlineAtMs);
    if (connection) this.#write(connection, request);
    else this.#waiting.push(request);
  }

  async destroy(): Promise<void> {
    await Promise.all([...this.#open].map(({ client }) => client.destroy()));
  }

  #take(deadlineAtMs: number): KeepAliveConnection | undefined {
    const last = this.#idle.pop();
    if (last?.isOpenUntil(deadlineAtMs)) return last;
    if (last) this.#drop(last);
    return this.#open.size < this.connectionsMax ? this.#create() : undefined;
  }

  #create(): KeepAliveConnection {
    const connection = new KeepAliveConnection(this.createClient());
    this.#open.add(connection);
    connection.client.on('disconnect', () => {
      const at = this.#idle.indexOf(connection);
      if (at < 0) return;
      this.#idle.splice(at, 1);
      this.#drop(connection);
    });
    return connection;
  }

  #write(connection: KeepAliveConnection, { options, exchange }: PendingRequest): void {
    exchange.useConnection(connection);
    exchange.onceReleased(() => this.#release(connection, exchange));
    connection.client.dispatch(options, exchange);
  }

  #release(connection: KeepAliveConnection, exchange: BackendExchange): void {
    if (connection.recordExchangeEnd(exchange)) this.#idle.push(connection);
    else this.#drop(connection);
    const next = this.#waiting.shift();
    if (next) this.dispatch(next.options, next.exchange, next.deadlineAtMs);
  }

  #drop(connection: KeepAliveConnection): void {
    this.#open.delete(connection);
    // Nothing runs on it; closing lets the end of its last answer pass through first.
    connection.client.close().catch(() => undefined);
  }
}
