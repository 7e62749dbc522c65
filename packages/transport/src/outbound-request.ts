import { TransportError } from '@sequoiafield/errors';
import type { LinkRequestKind } from '@sequoiafield/types';
import { decodeValue, encodeValue } from './call-codec.js';
import type { Exchange } from './exchange.js';
import { encodeFrame, FrameKind } from './frames.js';
import type { OutboundSession } from './outbound-session.js';

/** One request of a `LinkRequester`; its response settles once, at the latest after the timeout. */
export class OutboundRequest implements Exchange {
  readonly response: Promise<unknown>;

  #resolve!: (value: unknown) => void;

  #reject!: (error: Error) => void;

  #session: OutboundSession | undefined;

  readonly #timer: NodeJS.Timeout;

  constructor(
    readonly sequence: number,
    private readonly kind: LinkRequestKind,
    private readonly body: unknown,
    private readonly timeoutMs: number,
  ) {
    this.response = new Promise((resolve, reject) => {
      this.#resolve = resolve;
      this.#reject = reject;
    });
    this.#timer = setTimeout(() => this.#fail(`No response within ${timeoutMs} ms`), timeoutMs);
  }

  start(session: OutboundSession): void {
    this.#session = session;
    const payload = encodeValue([this.kind, this.body]);
    session.connection.write(encodeFrame(FrameKind.Request, this.sequence, payload));
  }

  onFrame(kind: FrameKind, payload: Buffer): void {
    if (kind !== FrameKind.Response) return;
    const [isAnswered, value] = decodeValue(payload) as [boolean, unknown];
    if (!isAnswered) {
      this.#fail(`The peer could not answer: ${String(value)}`);
      return;
    }
    this.#end();
    this.#resolve(value);
  }

  onLost(): boolean {
    this.#fail('The link was lost');
    return false;
  }

  onUnreachable(detail: string): void {
    this.#fail(detail);
  }

  #fail(message: string): void {
    this.#end();
    this.#reject(new TransportError(`Request of kind ${this.kind} failed: ${message}`));
  }

  #end(): void {
    clearTimeout(this.#timer);
    this.#session?.removeExchange(this.sequence);
  }
}
