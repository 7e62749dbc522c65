import {
  RefusalOutcome,
  RefusalReason,
  type CallOpen,
  type CallRefusal,
  type CallResult,
  type CancelSignal,
} from '@sequoiafield/types';
import { TransportError } from '@sequoiafield/errors';
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

/** What attempts share. */
export interface AttemptContext {
  readonly attemptSequence: AttemptSequence;
  readonly limits: TransportLimits;
  readonly counters: TransportCounters;
  readonly mechanisms: TransportMechanisms;
}

/** Caller's side of one attempt: open frame, request body, answer and its body. */
export class OutboundAttempt implements Exchange {
  readonly result: Promise<CallResult>;

  #resolve!: (result: CallResult) => void;

  #session: OutboundSession | undefined;

  #pump: BodySender | undefined;

  #inflow: BodyReceiver | undefined;

  #isOver = false;

  #hasMoved = false;

  /** True once an open frame of it was handed to a socket that is lost by now. */
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
    connection.write(encodeFrame(FrameKind.Open, this.sequence, encodeOpen(this.open)));
    this.#pump = new BodySender(connection, this.sequence, this.context.limits.windowBytes);
    const { body } = this;
    if (body === undefined) this.#pump.sendAtOnce(new Uint8Array());
    else if (body instanceof Uint8Array) {
      if (!this.#pump.sendAtOnce(body)) this.#pumpBody(this.#pump, [body]);
    } else this.#pumpBody(this.#pump, body);
  }

  onFrame(kind: FrameKind, payload: Buffer): void {
    if (kind === FrameKind.Window) this.#pump?.addCredit(decodeByteCount(payload));
    else if (kind === FrameKind.Answer && !this.#inflow) this.#onAnswer(payload);
    else if (kind === FrameKind.Refuse && !this.#inflow) {
      this.#pump?.stop();
      this.#onRefuse(decodeRefusal(payload));
    } else if (kind === FrameKind.Data && this.#inflow) this.#inflow.onData(payload);
    else if (kind === FrameKind.End && this.#inflow) {
      this.#inflow.onEnd(payload);
      this.#end();
    } else if (kind === FrameKind.Reset && this.#inflow) {
      this.#inflow.channel.fail(new TransportError('The answer broke off at its receiver'));
      this.#end();
    } else this.context.counters.crossedFramesDropped += 1;
  }

  onLost(isWritten: boolean): boolean {
    this.#pump?.stop();
    this.#mayHaveRun ||= isWritten;
    if (this.#inflow) {
      this.#inflow.channel.fail(new TransportError('The link was lost during the answer'));
      this.#end();
      return false;
    }
    const isReplayable = this.body === undefined || this.body instanceof Uint8Array;
    const { resendPolicy: movePolicy } = this.context.mechanisms;
    const maySendAgain = movePolicy.mayResend(this.open.isIdempotent, this.#mayHaveRun);
    if (isReplayable && maySendAgain && !this.#hasMoved) {
      // A new id, since the receiver may have seen the old one and drops duplicates.
      const attempt = { ...this.open.attempt, sequence: this.context.attemptSequence.next() };
      this.open = { ...this.open, attempt };
      this.#hasMoved = true;
      this.context.counters.attemptsMoved += 1;
      return true;
    }
    this.#refuse({
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
    this.#refuse({ outcome, reason, detail });
  }

  #onAnswer(payload: Buffer): void {
    const session = this.#session!;
    const { sequence } = this;
    const { limits, mechanisms } = this.context;
    const onBroken = (): void => {
      session.connection.write(encodeFrame(FrameKind.Cancel, sequence));
      this.#end();
    };
    const { connection } = session;
    const inflow = new BodyReceiver(connection, sequence, limits, mechanisms.bodyCheck, onBroken);
    this.#inflow = inflow;
    const head = decodeAnswer(payload);
    this.#resolve({ kind: 'answer', answer: { ...head, body: inflow.channel } });
  }

  #onRefuse(refusal: CallRefusal): void {
    // The refusal speaks of the moved attempt only; the first one may have run.
    const isTrue = refusal.outcome !== RefusalOutcome.NotRun || !this.#mayHaveRun;
    this.#refuse(isTrue ? refusal : { ...refusal, outcome: RefusalOutcome.Unknown });
  }

  #pumpBody(pump: BodySender, body: Iterable<Uint8Array> | AsyncIterable<Uint8Array>): void {
    pump.send(body).catch(() => {
      // The request body broke off: the receiver must not take it for complete.
      if (!this.#isOver) this.#cancel();
    });
  }

  #cancel(): void {
    if (this.#isOver) return;
    const session = this.#session;
    session?.connection.write(encodeFrame(FrameKind.Cancel, this.sequence));
    if (this.#inflow) {
      this.#inflow.channel.fail(new TransportError('The call was cancelled'));
      this.#end();
      return;
    }
    this.#refuse({
      // An open frame that waits in the batch is followed by its cancel, but may still start.
      outcome: session ? RefusalOutcome.Unknown : RefusalOutcome.NotRun,
      reason: RefusalReason.Cancelled,
      detail: 'the caller went away or its deadline passed',
    });
  }

  #refuse(refusal: CallRefusal): void {
    if (this.#isOver) return;
    this.#end();
    this.#resolve({ kind: 'refusal', refusal });
  }

  #end(): void {
    this.#isOver = true;
    this.#pump?.stop();
    this.signal.removeEventListener('abort', this.#onAbort);
    this.#session?.finish(this.sequence);
  }
}
