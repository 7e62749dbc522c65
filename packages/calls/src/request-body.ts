import type { IncomingMessage } from 'node:http';
import { CallError } from '@sequoiafield/errors';
import { BodyChannel, type BodyChannelOwner } from '@sequoiafield/transport';
import type { CancelSignal } from '@sequoiafield/types';

/** Bodies up to this size are held as a whole, so that a refused attempt can be sent again. */
export const replayableBodyMaxBytes = 64 * 1024;
/** Streamed bytes that wait for the link before the caller's connection is paused. */
const bufferMaxBytes = 256 * 1024;

/** Body of an inbound request: absent, whole, or a stream that can be read once. */
export type RequestBody = undefined | Uint8Array | BodyChannel;

/** Whether a request has a body, by its headers (RFC 9112, section 6.3). */
const hasBody = (request: IncomingMessage): boolean =>
  request.headers['transfer-encoding'] !== undefined ||
  (request.headers['content-length'] ?? '0') !== '0';

/** Reads the body of an inbound request; a body that the caller cuts off never looks complete. */
export class RequestBodyReader implements BodyChannelOwner {
  #chunks: Buffer[] = [];

  #bytes = 0;

  #pendingBytes = 0;

  #channel: BodyChannel | undefined;

  constructor(
    private readonly request: IncomingMessage,
    private readonly bodyMaxBytes: number,
  ) {}

  /**
   * Resolves with the whole body, or with a stream once it is larger than `replayableBodyMaxBytes`; rejects if
   * the signal aborts or the caller goes away before.
   */
  read(signal: CancelSignal): Promise<RequestBody> {
    const { request } = this;
    if (!hasBody(request)) return Promise.resolve(undefined);
    return new Promise((resolve, reject) => {
      request.on('data', (chunk: Buffer) => {
        this.#onData(chunk);
        if (!this.#channel && this.#bytes > replayableBodyMaxBytes) resolve(this.#startChannel());
      });
      request.on('end', () => {
        this.#channel?.end();
        if (!this.#channel) resolve(this.#joined());
      });
      const onAbort = (): void => reject(new CallError('The request body is late'));
      signal.addEventListener('abort', onAbort);
      request.on('end', () => signal.removeEventListener('abort', onAbort));
      request.on('close', () => {
        // Each request closes after its end; an error with its stack is costly to make.
        if (request.readableEnded) return;
        const error = new CallError('The caller went away during its request body');
        this.#channel?.fail(error);
        reject(error);
      });
    });
  }

  onConsumed(bytes: number): void {
    this.#pendingBytes -= bytes;
    if (this.#pendingBytes <= bufferMaxBytes / 2) this.request.resume();
  }

  onAbandoned(): void {
    // The rest is read and dropped, so that the caller can still read the refusal.
    this.request.resume();
  }

  #onData(chunk: Buffer): void {
    this.#bytes += chunk.byteLength;
    if (!this.#channel) {
      this.#chunks.push(chunk);
      return;
    }
    if (this.#channel.isSettled) return;
    if (this.#bytes > this.bodyMaxBytes) {
      this.#channel.fail(new CallError(`The request body exceeds ${this.bodyMaxBytes} bytes`));
      this.request.resume();
      return;
    }
    this.#pendingBytes += chunk.byteLength;
    this.#channel.push(chunk);
    if (this.#pendingBytes > bufferMaxBytes) this.request.pause();
  }

  #startChannel(): BodyChannel {
    this.#channel = new BodyChannel(this);
    this.#pendingBytes = this.#bytes;
    this.#chunks.forEach((chunk) => this.#channel?.push(chunk));
    this.#chunks = [];
    return this.#channel;
  }

  #joined(): Uint8Array {
    return this.#chunks.length === 1 ? this.#chunks[0]! : Buffer.concat(this.#chunks);
  }
}
