import { dataFrameMaxBytes } from './limits.js';
import { encodeByteCount, encodeDataFrame, encodeFrame, FrameKind } from './frames.js';

/** Destination of frames; each array holds the buffers of one frame. */
export interface FrameSink {
  write(buffers: readonly Uint8Array[]): void;
}

/**
 * Sends one body as data frames, never further ahead of the consumer than the window.
 *
 * @example
 * const sender = new BodySender(connection, sequence, 256 * 1024);
 * await sender.send(body);
 */
export class BodySender {
  #sentBytes = 0;

  #isStopped = false;

  #wake: (() => void) | undefined;

  constructor(
    private readonly sink: FrameSink,
    private readonly id: number,
    private creditBytes: number,
  ) {}

  /** Allows this number of further bytes. */
  addCredit(bytes: number): void {
    this.creditBytes += bytes;
    this.#wakeSender();
  }

  /** Stops sending; nothing more is written. */
  stop(): void {
    this.#isStopped = true;
    this.#wakeSender();
  }

  /** Sends a whole body at once if it fits the window and one frame; returns whether it did. */
  sendAtOnce(body: Uint8Array): boolean {
    if (body.byteLength > Math.min(this.creditBytes, dataFrameMaxBytes)) return false;
    if (body.byteLength > 0) this.#writeData(body);
    this.#writeEnd();
    return true;
  }

  /** Sends the whole body and its end frame; rejects with the error of the body. */
  async send(body: AsyncIterable<Uint8Array> | Iterable<Uint8Array>): Promise<void> {
    for await (const chunk of body) {
      for (let offsetBytes = 0; offsetBytes < chunk.byteLength && !this.#isStopped;) {
        while (this.creditBytes <= 0 && !this.#isStopped) await this.#waitForCredit();
        const bytes = Math.min(chunk.byteLength - offsetBytes, this.creditBytes, dataFrameMaxBytes);
        if (!this.#isStopped) this.#writeData(chunk.subarray(offsetBytes, offsetBytes + bytes));
        offsetBytes += bytes;
      }
      if (this.#isStopped) return;
    }
    this.#writeEnd();
  }

  #writeData(bytes: Uint8Array): void {
    this.sink.write(encodeDataFrame(this.id, this.#sentBytes, bytes));
    this.#sentBytes += bytes.byteLength;
    this.creditBytes -= bytes.byteLength;
  }

  #writeEnd(): void {
    if (this.#isStopped) return;
    this.#isStopped = true;
    this.sink.write(encodeFrame(FrameKind.End, this.id, encodeByteCount(this.#sentBytes)));
  }

  #waitForCredit(): Promise<void> {
    return new Promise((resolve) => {
      this.#wake = resolve;
    });
  }

  #wakeSender(): void {
    const wake = this.#wake;
    this.#wake = undefined;
    wake?.();
  }
}
