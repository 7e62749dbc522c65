import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { refuseMalformedRequest } from './client-errors.js';
import { PipelinedConnection } from './pipelined-connection.js';

/** Code of the error that a connection ended within a request. */
const closedInRequest = 'HPE_INVALID_EOF_STATE';

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
   * Handles bytes that are no request. Those behind unanswered requests get no answer, which would be
   * taken for theirs; nothing more is read from their connection. A caller that closed its connection, or
   * whose request is incomplete, gets no answer.
   */
  onMalformedRequest(error: NodeJS.ErrnoException, socket: Socket): void {
    const connection = this.#connections.get(socket);
    if (!connection?.hasPending) refuseMalformedRequest(error, socket);
    else if (error.code === closedInRequest || !connection.endAfterPending()) socket.destroy(error);
  }
}
