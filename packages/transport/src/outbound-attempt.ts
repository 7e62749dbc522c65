import {
  RefusalOutcome,
  RefusalReason,
  type CallOpen,
  type CallRefusal,
  type CallResult,
  type CancelSignal,
} from '@sequoiafield/types';
import { TransportError } from '@sequoiafield/errors';
import { monotonicNowMs } from '@sequoiafield/tables';
import type { AttemptSequence } from './attempt-sequence.js';
import { BodyReceiver } from './body-receiver.js';
import { BodySender } from './body-sender.js';
import { decodeAnswer, decodeRefusal, encodeOpen } from './call-codec.js';
import type { TransportCounters } from './counters.js';
import type { Exchange } from './exchange.js';
import { decodeByteCount, encodeFrame, FrameKind } from './frames.js';
import type { TransportLimits } from './limits.js';
import type { TransportMechanisms } from './mechanisms.js';
import type { OutboundSession } from './outbound-session.js';

type RequestBody = AsyncIterable<Uint8Array> | Uint8Array | undefined;

/** Dependencies shared by the attempts of a transport. */
export interface AttemptContext {
  readonly attemptSequence: AttemptSequence;
  readonly limits: TransportLimits;
  readonly counters: TransportCounters;
  readonly mechanisms: TransportMechanisms;
}

/** Sending side of one attempt: sends the open frame and the request body, receives the answer. */
export class OutboundAttempt implements Exchange {
  readonly result: Promise<CallResult>;

  #resolve!: (result: CallResult) => void;

  #session: OutboundSession | undefined;

  #bodySender: BodySender | undefined;

  #answerReceiver: BodyReceiver | undefined;

  #isEnded = false;

  #isResent = false;

  /** True once an open frame was handed to the socket of a connection that has been lost since. */
  #mayHaveRun = false;

  readonly #onAbort = (): void => this.#cancel();

  constructor(
    private open: CallOpen,
    private readonly body: RequestBody,
    private readonly signal: CancelSignal,
    private readonly context: AttemptContext,
  ) {
    this.result = new Promise((resolve) => {
      this.#resolve = resolve;
    });
    signal.addEventListener('abort', this.#onAbort);
  }

  get sequence(): number {
    return this.open.attempt.sequence;
  }

  start(session: OutboundSession): void {
    this.#session = session;
    const { connection } = session;
    connection.write(
      encodeFrame(FrameKind.Open, this.sequence, encodeOpen(this.open, monotonicNowMs())),
    );
    this.#bodySender = new BodySender(connection, this.sequence, this.context.limits.windowBytes);
    const { body } = this;
    if (body === undefined) this.#bodySender.sendAtOnce(new Uint8Array());
    else if (body instanceof Uint8Array) {
      if (!this.#bodySender.sendAtOnce(body)) this.#sendBody(this.#bodySender, [body]);
    } else this.#sendBody(this.#bodySender, body);
  }

  onFrame(kind: FrameKind, payload: Buffer): void {
    if (kind === FrameKind.Window) this.#bodySender?.addCredit(decodeByteCount(payload));
    else if (kind === FrameKind.Answer && !this.#answerReceiver) this.#onAnswer(payload);
    else if (kind === FrameKind.Refuse && !this.#answerReceiver) {
      this.#bodySender?.stop();
      this.#onRefusal(decodeRefusal(payload));
    } else if (kind === FrameKind.Data && this.#answerReceiver)
      this.#answerReceiver.onData(payload);
    else if (kind === FrameKind.End && this.#answerReceiver) {
      this.#answerReceiver.onEnd(payload);
      this.#end();
    } else if (kind === FrameKind.Reset && this.#answerReceiver) {
      this.#answerReceiver.channel.fail(
        new TransportError('The receiving node aborted the answer body'),
      );
      this.#end();
    } else this.context.counters.crossedFramesDropped += 1;
  }

  onLost(isWritten: boolean): boolean {
    this.#bodySender?.stop();
    this.#mayHaveRun ||= isWritten;
    if (this.#answerReceiver) {
      this.#answerReceiver.channel.fail(new TransportError('The link was lost during the answer'));
      this.#end();
      return false;
    }
    const isReplayable = this.body === undefined || this.body instanceof Uint8Array;
    const { resendPolicy } = this.context.mechanisms;
    const mayResend = resendPolicy.mayResend(this.open.isIdempotent, this.#mayHaveRun);
    if (isReplayable && mayResend && !this.#isResent) {
      // A new id, since the receiver drops duplicates and may have received the old one.
      const attempt = { ...this.open.attempt, sequence: this.context.attemptSequence.next() };
      this.open = { ...this.open, attempt };
      this.#isResent = true;
      this.context.counters.attemptsMoved += 1;
      return true;
    }
    this.#resolveRefusal({
      outcome: this.#mayHaveRun ? RefusalOutcome.Unknown : RefusalOutcome.NotRun,
      reason: RefusalReason.LinkLost,
      detail: 'the link to the receiving node was lost',
    });
    return false;
  }

  onUnreachable(detail: string, isWrongIncarnation: boolean): void {
    const outcome = this.#mayHaveRun ? RefusalOutcome.Unknown : RefusalOutcome.NotRun;
    const reason = isWrongIncarnation
      ? RefusalReason.WrongIncarnation
      : RefusalReason.ConnectFailed;
    this.#resolveRefusal({ outcome, reason, detail });
  }

  #onAnswer(payload: Buffer): void {
    const session = this.#session!;
    const { sequence } = this;
    const { limits, mechanisms } = this.context;
    const head = decodeAnswer(payload);
    if (!head) {
      session.connection.write(encodeFrame(FrameKind.Cancel, sequence));
      this.#resolveRefusal({
        outcome: RefusalOutcome.Unknown,
        reason: RefusalReason.BackendServerFailed,
        detail: 'the receiving node sent an answer with an invalid status',
      });
      return;
    }
    const onAborted = (): void => {
      session.connection.write(encodeFrame(FrameKind.Cancel, sequence));
      this.#end();
    };
    const { connection } = session;
    const answerReceiver = new BodyReceiver(connection, sequence, limits, mechanisms, onAborted);
    this.#answerReceiver = answerReceiver;
    this.#resolve({ kind: 'answer', answer: { ...head, body: answerReceiver.channel } });
  }

  #onRefusal(refusal: CallRefusal): void {
    // The refusal applies to the resent attempt only; the first one may have run.
    const isOutcomeValid = refusal.outcome !== RefusalOutcome.NotRun || !this.#mayHaveRun;
    this.#resolveRefusal(
      isOutcomeValid ? refusal : { ...refusal, outcome: RefusalOutcome.Unknown },
    );
  }

  #sendBody(sender: BodySender, body: Iterable<Uint8Array> | AsyncIterable<Uint8Array>): void {
    sender.send(body).catch(() => {
      // The request body failed: the receiver must not accept the partial body as complete.
      if (!this.#isEnded) this.#cancel();
    });
  }

  #cancel(): void {
    if (this.#isEnded) return;
    const session = this.#session;
    session?.connection.write(encodeFrame(FrameKind.Cancel, this.sequence));
    if (this.#answerReceiver) {
      this.#answerReceiver.channel.fail(new TransportError('The call was cancelled'));
      this.#end();
      return;
    }
    this.#resolveRefusal({
      // An open frame that is still batched is sent before its cancel, so that the call may start.
      outcome: session ? RefusalOutcome.Unknown : RefusalOutcome.NotRun,
      reason: RefusalReason.Cancelled,
      detail: 'the caller went away or its deadline passed',
    });
  }

  #resolveRefusal(refusal: CallRefusal): void {
    if (this.#isEnded) return;
    this.#end();
    this.#resolve({ kind: 'refusal', refusal });
  }

  #end(): void {
    this.#isEnded = true;
    this.#bodySender?.stop();
    this.signal.removeEventListener('abort', this.#onAbort);
    this.#session?.removeExchange(this.sequence);
  }
}
