import type { IncomingMessage } from 'node:http';
import { CallError } from '@sequoiafield/errors';
import { BodyChannel, type BodyChannelOwner } from '@sequoiafield/transport';
import type { CancelSignal } from '@sequoiafield/types';

/** Bodies up to this size are kept in memory, so that a refused attempt can be retried. */
export const replayableBodyMaxBytes = 64 * 1024;
/** Unconsumed streamed bytes above which the caller's connection is paused. */
const bufferMaxBytes = 256 * 1024;

/** Body of an inbound request: absent, complete in memory, or a stream that can be read once. */
export type RequestBody = undefined | Uint8Array | BodyChannel;

/** Returns whether a request has a body, according to its headers (RFC 9112, section 6.3). */
const hasBody = (request: IncomingMessage): boolean =>
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

  constructor(
    private readonly request: IncomingMessage,
    private readonly bodyMaxBytes: number,
  ) {}

  /**
   * Resolves with the complete body, or with a stream once it is larger than
   * `replayableBodyMaxBytes`; rejects if the signal aborts or the caller disconnects before that.
   */
  read(signal: CancelSignal): Promise<RequestBody> {
    const { request } = this;
    if (!hasBody(request)) return Promise.resolve(undefined);
    return new Promise((resolve, reject) => {
      request.on('data', (chunk: Buffer) => {
        this.#onData(chunk);
        if (!this.#channel && this.#receivedBytes > replayableBodyMaxBytes)
          resolve(this.#startChannel());
      });
      request.on('end', () => {
        this.#channel?.end();
        if (!this.#channel) resolve(this.#joinChunks());
      });
      const onAbort = (): void =>
        reject(new CallError('The call was aborted before its request body arrived'));
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

  onConsumed(bytes: number): void {
    this.#unconsumedBytes -= bytes;
    if (this.#unconsumedBytes <= bufferMaxBytes / 2) this.request.resume();
  }

  onAbandoned(): void {
    // The rest is read and discarded, so that the caller can still read the refusal.
    this.request.resume();
  }

  #onData(chunk: Buffer): void {
    this.#receivedBytes += chunk.byteLength;
    if (!this.#channel) {
      this.#chunks.push(chunk);
      return;
    }
    if (this.#channel.isSettled) return;
    if (this.#receivedBytes > this.bodyMaxBytes) {
      this.#channel.fail(new CallError(`The request body exceeds ${this.bodyMaxBytes} bytes`));
      this.request.resume();
      return;
    }
    this.#unconsumedBytes += chunk.byteLength;
    this.#channel.push(chunk);
    if (this.#unconsumedBytes > bufferMaxBytes) this.request.pause();
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
