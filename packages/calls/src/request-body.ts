import type { IncomingMessage } from 'node:http';
import { CallError } from '@sequoiafield/errors';
import { BodyChannel, type BodyChannelOwner, type BodyMemoryBudget } from '@sequoiafield/transport';
import type { CancelSignal } from '@sequoiafield/types';
import { replayableBodyMaxBytes } from './body-memory.js';

/** Unconsumed streamed bytes above which the caller's connection is paused. */
const bufferMaxBytes = 256 * 1024;

/** Body of an inbound request: absent, complete in memory, or a stream that can be read once. */
export type RequestBody = undefined | Uint8Array | BodyChannel;

/** Bounds within which a body is read. */
export interface BodyReadingLimits {
  readonly bodyMaxBytes: number;
  /** Bodies up to this size are held whole, larger ones are streamed. */
  readonly wholeBodyMaxBytes: number;
  /** Counts the bytes that are held. */
  readonly budget: BodyMemoryBudget;
  /** Bytes of the body that were taken from the budget before it is read. */
  readonly takenBytes: number;
}

/** Returns whether a request has a body, according to its headers (RFC 9112, section 6.3). */
export const hasBody = (request: IncomingMessage): boolean =>
  request.headers['transfer-encoding'] !== undefined ||
  (request.headers['content-length'] ?? '0') !== '0';

/**
 * Reads the body of an inbound request; a body that the caller truncates fails instead of ending.
 */
export class RequestBodyReader implements BodyChannelOwner {
  #chunks: Buffer[] = [];

  #receivedBytes = 0;

  #unconsumedBytes = 0;

  #channel: BodyChannel | undefined;

  /** Bytes that count in the budget. */
  #heldBytes: number;

  #isReleased = false;

  #cancelResume: (() => void) | undefined;

  constructor(
    private readonly request: IncomingMessage,
    private readonly limits: BodyReadingLimits,
  ) {
    this.#heldBytes = limits.takenBytes;
  }

  /**
   * Resolves with the complete body, or with a stream once it is larger than `wholeBodyMaxBytes`;
   * rejects if the signal aborts or the caller disconnects before that.
   */
  read(signal: CancelSignal): Promise<RequestBody> {
    const { request } = this;
    if (!hasBody(request)) return Promise.resolve(undefined);
    return new Promise((resolve, reject) => {
      const onAbort = (): void =>
        reject(new CallError('The call was aborted before its request body arrived'));
      if (signal.aborted) onAbort();
      request.on('data', (chunk: Buffer) => {
        this.#onData(chunk);
        if (!this.#channel && this.#mustStream()) resolve(this.#startChannel());
      });
      request.on('end', () => {
        this.#channel?.end();
        if (!this.#channel) resolve(this.#joinChunks());
      });
      signal.addEventListener('abort', onAbort);
      request.on('end', () => signal.removeEventListener('abort', onAbort));
      request.on('close', () => {
        // A complete request closes too; creating an error with its stack for each would be costly.
        if (request.readableEnded) return;
        const error = new CallError('The caller went away during its request body');
        this.#channel?.fail(error);
        reject(error);
      });
    });
  }

  /** Gives the memory of the body back, when no attempt needs it any more. */
  release(): void {
    if (this.#isReleased) return;
    this.#isReleased = true;
    this.#cancelResume?.();
    this.limits.budget.release(this.#heldBytes);
    this.#heldBytes = 0;
    // The rest is read and discarded, so that the caller can still read the answer.
    if (this.#cancelResume) this.request.resume();
  }

  onConsumed(bytes: number): void {
    this.#unconsumedBytes -= bytes;
    this.#hold(-bytes);
    if (this.#unconsumedBytes <= bufferMaxBytes / 2 && !this.#cancelResume) this.request.resume();
  }

  onAbandoned(): void {
    // The rest is read and discarded, so that the caller can still read the refusal.
    this.release();
    this.request.resume();
  }

  #onData(chunk: Buffer): void {
    this.#receivedBytes += chunk.byteLength;
    if (!this.#channel) {
      this.#chunks.push(chunk);
      if (this.#receivedBytes > this.limits.takenBytes) this.#hold(chunk.byteLength);
      return;
    }
    if (this.#channel.isSettled) return;
    if (this.#receivedBytes > this.limits.bodyMaxBytes) {
      this.#channel.fail(
        new CallError(`The request body exceeds ${this.limits.bodyMaxBytes} bytes`),
      );
      this.request.resume();
      return;
    }
    this.#unconsumedBytes += chunk.byteLength;
    this.#hold(chunk.byteLength);
    this.#channel.push(chunk);
    if (this.#unconsumedBytes > bufferMaxBytes) this.request.pause();
    else if (this.limits.budget.isFull) this.#pauseUntilFreed();
  }

  /** Whether the body is too large to be held whole, or its length is unknown and memory is short. */
  #mustStream(): boolean {
    const { wholeBodyMaxBytes, takenBytes, budget } = this.limits;
    if (this.#receivedBytes > wholeBodyMaxBytes) return true;
    const isBeyondTaken = this.#receivedBytes > Math.max(takenBytes, replayableBodyMaxBytes);
    return isBeyondTaken && budget.isFull;
  }

  #pauseUntilFreed(): void {
    if (this.#cancelResume || this.#isReleased) return;
    this.request.pause();
    this.#cancelResume = this.limits.budget.onceFreed(() => {
      this.#cancelResume = undefined;
      this.request.resume();
    });
  }

  #hold(bytes: number): void {
    if (this.#isReleased) return;
    this.#heldBytes += bytes;
    if (bytes > 0) this.limits.budget.add(bytes);
    else this.limits.budget.release(-bytes);
  }

  #startChannel(): BodyChannel {
    this.#channel = new BodyChannel(this);
    this.#unconsumedBytes = this.#receivedBytes;
    this.#chunks.forEach((chunk) => this.#channel?.push(chunk));
    this.#chunks = [];
    return this.#channel;
  }

  #joinChunks(): Uint8Array {
    return this.#chunks.length === 1 ? this.#chunks[0]! : Buffer.concat(this.#chunks);
  }
}
