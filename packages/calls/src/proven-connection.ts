import { monotonicNowMs } from '@sequoiafield/tables';
import type { Client } from 'undici';
import type { BackendExchange } from './backend-exchange.js';

/**
 * Longest time since the last request for which a connection is used again. A server that stops
 * without notice closes its idle connections before their advertised time, so the time is kept short.
 */
const reuseMaxMs = 1000;

/** One connection, used for one request at a time. */
export class ProvenConnection {
  /** Until when the server promised to keep the connection open; 0 if it made no promise. */
  #keptUntilMs = 0;

  #lastWrittenAtMs = 0;

  constructor(readonly client: Client) {}

  /** Notes the request that ended last; false if the connection cannot be used again. */
  noteEnd(exchange: BackendExchange): boolean {
    this.#keptUntilMs = exchange.keptUntilMs;
    this.#lastWrittenAtMs = exchange.writtenAtMs;
    return this.#keptUntilMs > 0;
  }

  /** Whether a request with this deadline may use the connection. */
  isProvenFor(deadlineAtMs: number): boolean {
    const isRecent = monotonicNowMs() - this.#lastWrittenAtMs <= reuseMaxMs;
    return isRecent && this.#keptUntilMs > deadlineAtMs;
  }
}
