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
import { BodyChannel } from './body-channel.js';
import { BodyReceiver } from './body-receiver.js';
import { BodySender } from './body-sender.js';
import { Cancellation } from './cancellation.js';
import { encodeAnswer, encodeRefusal } from './call-codec.js';
import type { Connection } from './connection.js';
import { decodeByteCount, encodeFrame, FrameKind } from './frames.js';
import type { TransportLimits } from './limits.js';
import type { TransportMechanisms } from './mechanisms.js';

/** Receiving side of one attempt, from its open frame until its answer has been sent. */
export class InboundAttempt {
  readonly #cancellation = new Cancellation();

  readonly #bodyReceiver: BodyReceiver;

  readonly #answerBodySender: BodySender;

  constructor(
    private readonly open: CallOpen,
    private readonly connection: Connection,
    limits: TransportLimits,
    mechanisms: TransportMechanisms,
    private readonly onEnded: (sequence: number) => void,
  ) {
    const { sequence } = open.attempt;
    this.#bodyReceiver = new BodyReceiver(
      connection,
      sequence,
      limits,
      mechanisms,
      () => undefined,
      mechanisms.bodyBudget,
    );
    this.#answerBodySender = new BodySender(connection, sequence, limits.windowBytes);
  }

  /** Runs the call and sends its result; a call that was cancelled before does not start. */
  async run(receiver: CallReceiver): Promise<void> {
    if (this.#cancellation.aborted) {
      this.#end();
      return;
    }
    let result: CallResult;
    try {
      result = await receiver.receive(this.open, this.#bodyReceiver.channel, this.#cancellation);
    } catch (error) {
      result = { kind: 'refusal', refusal: this.#createFailureRefusal(error) };
    }
    if (this.#cancellation.aborted) {
      // The attempt was cancelled or its link lost; the sender would drop the result as late.
      if (result.kind === 'answer') await result.answer.body[Symbol.asyncIterator]().return?.();
    } else if (result.kind === 'refusal') {
      this.#writeFrame(FrameKind.Refuse, encodeRefusal(result.refusal));
    } else {
      await this.#sendAnswer(result.answer);
    }
    this.#end();
  }

  onFrame(kind: FrameKind, payload: Buffer): void {
    if (kind === FrameKind.Data) this.#bodyReceiver.onData(payload);
    else if (kind === FrameKind.End) this.#bodyReceiver.onEnd(payload);
    else if (kind === FrameKind.Window) this.#answerBodySender.addCredit(decodeByteCount(payload));
    else if (kind === FrameKind.Cancel) this.abort('The sender cancelled the call');
  }

  #end(): void {
    this.#bodyReceiver.discard();
    this.onEnded(this.open.attempt.sequence);
  }

  /** Aborts the call without sending an answer. */
  abort(reason: string): void {
    this.#bodyReceiver.channel.fail(new TransportError(reason));
    this.#answerBodySender.stop();
    this.#cancellation.abort(new TransportError(reason));
  }

  async #sendAnswer(answer: CallAnswer): Promise<void> {
    this.#writeFrame(FrameKind.Answer, encodeAnswer(answer));
    const { body } = answer;
    const wholeBody = body instanceof BodyChannel ? body.takeWhole() : undefined;
    if (wholeBody && this.#answerBodySender.sendAtOnce(wholeBody)) return;
    try {
      await this.#answerBodySender.send(wholeBody ? [wholeBody] : body);
    } catch {
      // The sender has the head of the answer and must not accept the partial body as complete.
      this.#writeFrame(FrameKind.Reset);
    }
  }

  #createFailureRefusal(error: unknown): CallRefusal {
    return {
      outcome: RefusalOutcome.Unknown,
      reason: RefusalReason.BackendServerFailed,
      detail: error instanceof Error ? error.message : String(error),
    };
  }

  #writeFrame(kind: FrameKind, payload?: Uint8Array): void {
    this.connection.write(encodeFrame(kind, this.open.attempt.sequence, payload));
  }
}
