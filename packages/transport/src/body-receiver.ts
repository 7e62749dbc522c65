import { TransportError } from '@sequoiafield/errors';
import { BodyChannel, type BodyChannelOwner } from './body-channel.js';
import type { BodyMemoryBudget } from './body-memory-budget.js';
import type { FrameSink } from './body-sender.js';
import {
  decodeByteCount,
  decodeDataBytes,
  encodeByteCount,
  encodeFrame,
  FrameKind,
} from './frames.js';
import type { TransportLimits } from './limits.js';
import type { TransportMechanisms } from './mechanisms.js';

/**
 * Receives the data frames of one body: checks that none is missing or duplicated and that the
 * window and the maximum size are kept, and extends the window as the consumer takes bytes.
 */
export class BodyReceiver implements BodyChannelOwner {
  readonly channel = new BodyChannel(this);

  #receivedBytes = 0;

  #consumedBytes = 0;

  #grantedBytes: number;

  constructor(
    private readonly sink: FrameSink,
    private readonly id: number,
    private readonly limits: TransportLimits,
    private readonly mechanisms: Pick<TransportMechanisms, 'bodyCheck'>,
    private readonly onAborted: () => void,
    /** Counts the bytes that were received and not consumed. */
    private readonly budget?: BodyMemoryBudget,
  ) {
    this.#grantedBytes = limits.windowBytes;
  }

  onData(payload: Buffer): void {
    if (this.channel.isSettled) return;
    const bytes = decodeDataBytes(payload);
    const endBytes = this.#receivedBytes + bytes.byteLength;
    if (!this.mechanisms.bodyCheck.continues(decodeByteCount(payload), this.#receivedBytes)) {
      this.#fail('A data frame is missing or doubled');
    } else if (endBytes > this.#grantedBytes) {
      this.#fail(`The sender exceeded the window of ${this.limits.windowBytes} bytes`);
    } else if (endBytes > this.limits.bodyMaxBytes) {
      this.#fail(`The body is larger than ${this.limits.bodyMaxBytes} bytes`);
    } else {
      this.#receivedBytes = endBytes;
      this.budget?.add(bytes.byteLength);
      this.channel.push(bytes);
    }
  }

  onEnd(payload: Buffer): void {
    if (this.channel.isSettled) return;
    const isComplete = this.mechanisms.bodyCheck.isComplete(
      decodeByteCount(payload),
      this.#receivedBytes,
    );
    if (!isComplete) this.#fail('The body is truncated');
    else this.channel.end();
  }

  onConsumed(bytes: number): void {
    this.#consumedBytes += bytes;
    this.budget?.release(bytes);
    const grantBytes = this.#consumedBytes + this.limits.windowBytes - this.#grantedBytes;
    // Extending the window by at least half of it keeps window frames rare.
    if (this.channel.isSettled || grantBytes < this.limits.windowBytes / 2) return;
    this.#grantedBytes += grantBytes;
    this.sink.write(encodeFrame(FrameKind.Window, this.id, encodeByteCount(grantBytes)));
  }

  /** Discards what was not consumed when the body is no longer needed. */
  discard(): void {
    this.channel.discard();
  }

  onAbandoned(): void {
    this.onAborted();
  }

  #fail(message: string): void {
    this.channel.fail(new TransportError(message));
    this.onAborted();
  }
}
