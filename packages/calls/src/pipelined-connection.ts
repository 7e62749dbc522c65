import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { monotonicNowMs } from '@sequoiafield/tables';
import type { InboundRequest, PipelinedRequests } from './pipelined-requests.js';

/** Unanswered requests of one connection that may run at a time; reading pauses beyond them. */
const pendingRequestsMax = 16;
/** Bytes of unanswered requests behind the first at which reading pauses. */
const pendingBytesMax = 256 * 1024;
/**
 * Requests that are kept beyond the pause, since one read of a connection holds up to 64 KB. Later ones
 * are dropped as not read, and the answer to the last one that is kept closes the connection.
 */
const keptRequestsMax = 128;
/** Pause of reading after which the caller may have closed its connection unnoticed. */
const unreadWaitMaxMs = 100;

interface PendingRequest {
  readonly inboundRequest: InboundRequest;
  /** Bytes read from the connection up to the head of the request; 0 for a request without others. */
  readonly readBytes: number;
  isStarted: boolean;
}

/** Unanswered requests of one connection, in the order in which they were read. */
export class PipelinedConnection {
  #pending: PendingRequest[] = [];

  #isEnding = false;

  #isPaused = false;

  #pausedAtMs = 0;

  /** Whether a close of the caller may be unread, since reading has only just resumed. */
  #isCloseUnread = false;

  #isWatchingClose = false;

  constructor(
    private readonly socket: Socket,
    private readonly owner: PipelinedRequests,
  ) {}

  /** Adds a request that was read; starts it if it may run now. */
  add(inboundRequest: InboundRequest): void {
    const { socket } = this;
    // A caller sends what follows the last answer of a connection again, so it must not run here.
    if (this.#isEnding || socket.writableEnded || socket.destroyed) {
      this.#drop(inboundRequest);
      return;
    }
    const isFirst = this.#pending.length === 0;
    const readBytes = isFirst ? 0 : socket.bytesRead;
    this.#pending.push({ inboundRequest, readBytes, isStarted: false });
    inboundRequest.response.on('close', () => this.#onAnswered(inboundRequest));
    if (!isFirst) this.#limitPending();
    this.#startNext();
  }

  /** Whether nothing may follow a response. */
  isLast(response: ServerResponse): boolean {
    return this.#isEnding && this.#pending.at(-1)?.inboundRequest.response === response;
  }

  /**
   * Reads no more requests; returns false if none is unanswered, or if one of them is incomplete, so that
   * its connection has failed.
   */
  endAfterPending(): boolean {
    const last = this.#pending.at(-1);
    if (last && !last.inboundRequest.request.complete) return false;
    this.#isEnding ||= last !== undefined;
    return this.#isEnding;
  }

  /** Whether an answer that is not due would be taken for that to another request. */
  get hasPending(): boolean {
    return this.#pending.length > 0;
  }

  /** Pauses reading at the bounds of what may be pending. */
  #limitPending(): void {
    const { socket } = this;
    this.owner.requestsPipelined += 1;
    if (!this.#isWatchingClose) socket.once('close', () => this.#onClosed());
    this.#isWatchingClose = true;
    if (this.#pending.length >= keptRequestsMax) this.#isEnding = true;
    if (this.#isPaused || this.#isWithinBounds()) return;
    this.#isPaused = true;
    this.#pausedAtMs = monotonicNowMs();
    this.owner.readingPauses += 1;
    // The HTTP server resumes reading at the end of each request that it parses in this turn.
    process.nextTick(() => {
      if (this.#isPaused) socket.pause();
    });
  }

  #isWithinBounds(): boolean {
    const second = this.#pending[1];
    const bytes = second ? this.socket.bytesRead - second.readBytes : 0;
    return this.#pending.length < pendingRequestsMax && bytes < pendingBytesMax;
  }

  #resume(): void {
    if (!this.#isPaused) return;
    this.#isPaused = false;
    this.socket.resume();
    if (monotonicNowMs() - this.#pausedAtMs <= unreadWaitMaxMs) return;
    this.#isCloseUnread = true;
    // The close is read one turn of the event loop after the requests before it.
    setImmediate(() => {
      setImmediate(() => {
        this.#isCloseUnread = false;
      });
    });
  }

  /**
   * Starts the requests that may run now. Behind an unanswered request, a request starts only if both may
   * run twice, since their connection may close before its turn (RFC 9112, section 9.3.2).
   */
  #startNext(): void {
    const { socket, owner } = this;
    if (socket.destroyed || socket.writableEnded) return;
    for (let index = 0; index < Math.min(this.#pending.length, pendingRequestsMax); index += 1) {
      const entry = this.#pending[index]!;
      const { inboundRequest } = entry;
      const isBehind = index > 0;
      if (isBehind && (owner.isClosing() || !inboundRequest.isIdempotent())) return;
      if (!entry.isStarted) {
        entry.isStarted = true;
        this.#start(inboundRequest);
      }
      const isFollowed = index + 1 < this.#pending.length;
      if (!isFollowed || !inboundRequest.response.shouldKeepAlive) return;
      if (!inboundRequest.isIdempotent()) return;
    }
  }

  #start(inboundRequest: InboundRequest): void {
    if (this.#isPaused && monotonicNowMs() - this.#pausedAtMs > unreadWaitMaxMs) this.#resume();
    inboundRequest.start(this.#isCloseUnread);
  }

  #onAnswered(inboundRequest: InboundRequest): void {
    const index = this.#pending.findIndex((entry) => entry.inboundRequest === inboundRequest);
    if (index < 0) return;
    this.#pending.splice(index, 1);
    const first = this.#pending[0];
    if (!first) {
      // An answer whose head was sent before the end was known did not close the connection.
      if (this.#isEnding) this.socket.destroySoon();
      else this.#resume();
      return;
    }
    // Its answer failed while answers ahead of it were not sent.
    if (first.inboundRequest.response.destroyed) this.socket.resetAndDestroy();
    if (this.#isWithinBounds() && !this.#isEnding) this.#resume();
    this.#startNext();
  }

  /** Ends the requests whose turn had not come; the HTTP server ends only the first. */
  #onClosed(): void {
    const pending = this.#pending;
    this.#pending = [];
    for (const { inboundRequest, isStarted } of pending) {
      if (!isStarted) this.#drop(inboundRequest);
      else if (!inboundRequest.response.socket) {
        inboundRequest.response.destroy();
        inboundRequest.response.emit('close');
      }
    }
  }

  #drop({ request, response }: InboundRequest): void {
    this.owner.requestsDropped += 1;
    response.destroy();
    // Its body is read and discarded, so that a close of the caller behind it is read.
    request.resume();
  }
}
