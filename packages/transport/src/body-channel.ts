import { TransportError } from '@sequoiafield/errors';

const joinChunks = (chunks: readonly Uint8Array[]): Uint8Array => {
  const [first] = chunks;
  return chunks.length === 1 && first ? first : Buffer.concat(chunks);
};

/** Callbacks of a body channel to its producer. */
export interface BodyChannelOwner {
  /** Called when bytes were taken or discarded, so that as many more may be sent. */
  onConsumed(bytes: number): void;
  /** Called when the consumer stopped reading before the end. */
  onAbandoned(): void;
}

/**
 * Body of one call, passed from one producer to one consumer. A body that is already complete can
 * be taken without an asynchronous step.
 *
 * @example
 * const body = BodyChannel.of(Buffer.from('abc'));
 * const whole = body.takeWhole();
 */
export class BodyChannel implements AsyncIterable<Uint8Array>, AsyncIterator<Uint8Array> {
  #chunks: Uint8Array[] = [];

  #isEnded = false;

  #error: Error | undefined;

  #wake: (() => void) | undefined;

  constructor(private readonly owner?: BodyChannelOwner) {}

  /** Creates a body that is complete from the start. */
  static of(bytes: Uint8Array | undefined): BodyChannel {
    const channel = new BodyChannel();
    if (bytes && bytes.byteLength > 0) channel.push(bytes);
    channel.end();
    return channel;
  }

  /** True once no more bytes follow, because the body is complete or has failed. */
  get isSettled(): boolean {
    return this.#isEnded || this.#error !== undefined;
  }

  push(chunk: Uint8Array): void {
    if (this.isSettled) return;
    this.#chunks.push(chunk);
    this.#wakeConsumer();
  }

  end(): void {
    if (this.isSettled) return;
    this.#isEnded = true;
    this.#wakeConsumer();
  }

  /** Fails the body: discards unread bytes; the consumer gets the error instead of an end. */
  fail(error: Error): void {
    if (this.isSettled) return;
    this.#error = error;
    this.#dropChunks();
    this.#wakeConsumer();
  }

  /** Takes the rest of the body as one buffer if all of it has arrived, else returns undefined. */
  takeWhole(): Uint8Array | undefined {
    if (!this.#isEnded) return undefined;
    const whole = joinChunks(this.#chunks);
    this.#chunks = [];
    if (whole.byteLength > 0) this.owner?.onConsumed(whole.byteLength);
    return whole;
  }

  /** Discards what was not taken; a body that is not complete fails. */
  discard(): void {
    if (this.isSettled) this.#dropChunks();
    else this.fail(new TransportError('The body was abandoned by its consumer'));
  }

  async next(): Promise<IteratorResult<Uint8Array, undefined>> {
    for (;;) {
      if (this.#error) throw this.#error;
      const chunk = this.#chunks.shift();
      if (chunk) {
        this.owner?.onConsumed(chunk.byteLength);
        return { done: false, value: chunk };
      }
      if (this.#isEnded) return { done: true, value: undefined };
      await new Promise<void>((resolve) => {
        this.#wake = resolve;
      });
    }
  }

  async return(): Promise<IteratorResult<Uint8Array, undefined>> {
    const isAbandoned = !this.isSettled;
    this.discard();
    if (isAbandoned) this.owner?.onAbandoned();
    return { done: true, value: undefined };
  }

  [Symbol.asyncIterator](): this {
    return this;
  }

  #dropChunks(): void {
    const bytes = this.#chunks.reduce((sum, chunk) => sum + chunk.byteLength, 0);
    this.#chunks = [];
    if (bytes > 0) this.owner?.onConsumed(bytes);
  }

  #wakeConsumer(): void {
    const wake = this.#wake;
    this.#wake = undefined;
    wake?.();
  }
}
