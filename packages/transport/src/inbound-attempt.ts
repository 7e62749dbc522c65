import { TransportError } from '@sequoiafield/errors';
import {
  RefusalOutcome,
  RefusalReason,
  type CallAnswer,
  type CallOpen,
  type CallReceiver,
  type CallRefusal,
  type CallResult,
} from '@sequoiafield/types';
import type { BodyCheck } from './body-check.js';
import { BodyChannel } from './body-channel.js';
import { BodyReceiver } from './body-receiver.js';
import { BodySender } from './body-sender.js';
import { Cancellation } from './cancellation.js';
import { encodeAnswer, encodeRefusal } from './call-codec.js';
import type { Connection } from './connection.js';
import { decodeByteCount, encodeFrame, FrameKind } from './frames.js';
import type { TransportLimits } from './limits.js';

/** Receiving side of one attempt, from its open frame until its answer is sent. */
export class InboundAttempt {
  readonly #cancellation = new Cancellation();

  readonly #inflow: BodyReceiver;

  readonly #pump: BodySender;

  constructor(
    private readonly open: CallOpen,
    private readonly connection: Connection,
    limits: TransportLimits,
    bodyCheck: BodyCheck,
    private readonly onOver: (sequence: number) => void,
  ) {
    const { sequence } = open.attempt;
    this.#inflow = new BodyReceiver(connection, sequence, limits, bodyCheck, () => undefined);
    this.#pump = new BodySender(connection, sequence, limits.windowBytes);
  }

  /** Runs the call and sends its result. */
  async run(receiver: CallReceiver): Promise<void> {
    let result: CallResult;
    try {
      result = await receiver.receive(this.open, this.#inflow.channel, this.#cancellation);
    } catch (error) {
      result = { kind: 'refusal', refusal: this.#failure(error) };
    }
    if (this.#cancellation.aborted) {
      // The sender ended this attempt and would drop the result as late.
      if (result.kind === 'answer') await result.answer.body[Symbol.asyncIterator]().return?.();
    } else if (result.kind === 'refusal') {
      this.#write(FrameKind.Refuse, encodeRefusal(result.refusal));
    } else {
      await this.#answer(result.answer);
    }
    this.onOver(this.open.attempt.sequence);
  }

  onFrame(kind: FrameKind, payload: Buffer): void {
    if (kind === FrameKind.Data) this.#inflow.onData(payload);
    else if (kind === FrameKind.End) this.#inflow.onEnd(payload);
    else if (kind === FrameKind.Window) this.#pump.addCredit(decodeByteCount(payload));
    else if (kind === FrameKind.Cancel) this.abort('The sender cancelled the call');
  }

  /** Ends the call without an answer. */
  abort(why: string): void {
    this.#inflow.channel.fail(new TransportError(why));
    this.#pump.stop();
    this.#cancellation.abort(new TransportError(why));
  }

  async #answer(answer: CallAnswer): Promise<void> {
    this.#write(FrameKind.Answer, encodeAnswer(answer));
    const { body } = answer;
    const whole = body instanceof BodyChannel ? body.takeWhole() : undefined;
    if (whole && this.#pump.sendAtOnce(whole)) return;
    try {
      await this.#pump.send(whole ? [whole] : body);
    } catch {
      // The sender has the head of the answer and must not take what came for the whole.
      this.#write(FrameKind.Reset);
    }
  }

  #failure(error: unknown): CallRefusal {
    return {
      outcome: RefusalOutcome.Unknown,
      reason: RefusalReason.BackendServerFailed,
      detail: error instanceof Error ? error.message : String(error),
    };
  }

  #write(kind: FrameKind, payload?: Uint8Array): void {
    this.connection.write(encodeFrame(kind, this.open.attempt.sequence, payload));
  }
}
