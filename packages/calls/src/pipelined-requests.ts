import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { PipelinedConnection } from './pipelined-connection.js';

/** One request as it was read from a connection. */
export interface InboundRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Whether the request may run twice; only asked if the connection has several requests. */
  isIdempotent(): boolean;
  /**
   * Starts the request. `hasWaitedUnread` is true if reading was paused, so that a close of its caller
   * may still be unread.
   */
  start(hasWaitedUnread: boolean): void;
}

/**
 * Decides when the requests of each connection start. A request on a connection without others starts at
 * once. The HTTP server returns the answers in the order of the requests.
 *
 * @example
 * const pipelinedRequests = new PipelinedRequests(() => isStopping);
 * pipelinedRequests.accept({ request, response, isIdempotent, start });
 */
export class PipelinedRequests {
  readonly #connections = new WeakMap<Socket, PipelinedConnection>();

  /** Requests that were read while an earlier one of their connection was not answered. */
  requestsPipelined = 0;

  /** Requests that were not started, because their connection closed before. */
  requestsDropped = 0;

  /** Times that reading from a connection paused, because too much was pending on it. */
  readingPauses = 0;

  constructor(
    /** Whether callers are asked to close their connections. */
    readonly isClosing: () => boolean,
  ) {}

  /** Starts a request now, or when its turn comes; drops it if nothing more runs on its connection. */
  accept(inboundRequest: InboundRequest): void {
    const { socket } = inboundRequest.request;
    let connection = this.#connections.get(socket);
    if (!connection) {
      connection = new PipelinedConnection(socket, this);
      this.#connections.set(socket, connection);
    }
    connection.add(inboundRequest);
  }

  /** Whether nothing may follow a response on its connection. */
  isLast(request: IncomingMessage, response: ServerResponse): boolean {
    return this.#connections.get(request.socket)?.isLast(response) ?? false;
  }

  /**
   * Stops reading requests from a connection that has unanswered ones, whose answers are still sent;
   * returns false if it has none.
   */
  endAfterPending(socket: Socket): boolean {
    return this.#connections.get(socket)?.endAfterPending() ?? false;
  }
}
