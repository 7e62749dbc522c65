import { CallError } from '@sequoiafield/errors';
import { BodyChannel, type BodyChannelOwner } from '@sequoiafield/transport';
import { monotonicNowMs } from '@sequoiafield/tables';
import { RefusalReason, type CallOpen, type CallRefusal } from '@sequoiafield/types';
import type { Dispatcher } from 'undici';
import type { BackendRequestOutcome, BackendResult } from './backend-client.js';
import { AnswerKind, type CallProtocol, type HeaderPair } from './call-protocol.js';
import { bodilessStatuses, forwardHeaders, pairHeaders, readKeepAliveMs } from './headers.js';
import type { FailureClassifier } from './failure-classifier.js';
import { createNotRunRefusal } from './refusals.js';

/** Bytes of an answer that wait for the caller before the backend server is paused. */
const bufferMaxBytes = 256 * 1024;
const statusServerError = 500;

const readRaw = (raw: readonly (Buffer | string)[]): string[] =>
  raw.map((part) => (typeof part === 'string' ? part : part.toString('latin1')));

/** Rules of an exchange that are the same for all requests. */
export interface BackendExchangeOptions {
  readonly classifier: FailureClassifier;
  readonly protocol: CallProtocol;
  /** Answers up to this size are read to their end before they are handed on. */
  readonly bufferedAnswerMaxBytes: number;
}

/** One request on a connection to the backend server, as a handler of `undici`'s dispatch. */
export class BackendExchange implements Dispatcher.DispatchHandler, BodyChannelOwner {
  readonly result: Promise<BackendResult>;

  #resolve!: (result: BackendResult) => void;

  #body: BodyChannel | undefined;

  #controller: Dispatcher.DispatchController | undefined;

  #bufferedBytes = 0;

  #wasWritten = false;

  #isEnded = false;

  #isRefused = false;

  #status = 0;

  #onEnd: (end: BackendRequestOutcome) => void = () => undefined;

  #onReleased: () => void = () => undefined;

  #writtenAtMs = 0;

  /** Advertised by the head of the answer. */
  #advertisedMs = 0;

  /** Set once the answer is complete, since a broken one leaves no connection. */
  #keepAliveMs = 0;

  #abortReason: RefusalReason | undefined;

  #headers: readonly HeaderPair[] = [];

  #isHandedOver = false;

  #connection: { readonly hasErrored: boolean } | undefined;

  /** Whether the end of the answer shows by its length or chunks. */
  #isDelimited = true;

  constructor(
    private readonly open: CallOpen,
    private readonly options: BackendExchangeOptions,
  ) {
    this.result = new Promise((resolve) => {
      this.#resolve = resolve;
    });
  }

  /** Sets what is called once, when nothing of the request is left on its connection. */
  onceEnded(onEnd: (end: BackendRequestOutcome) => void): void {
    this.#onEnd = onEnd;
  }

  /** Sets what is called after that, when the connection may carry another request. */
  onceReleased(onReleased: () => void): void {
    this.#onReleased = onReleased;
  }

  /** Names the connection that carries the request; without one, a reset shows as an end. */
  useConnection(connection: { readonly hasErrored: boolean }): void {
    this.#connection = connection;
  }

  /** When the request was written, on the monotonic clock; 0 if it was not. */
  get writtenAtMs(): number {
    return this.#writtenAtMs;
  }

  /** Until when the server keeps the connection open at least, by its last answer; 0 if unknown. */
  get keepAliveUntilMs(): number {
    return this.#keepAliveMs === 0 ? 0 : this.#writtenAtMs + this.#keepAliveMs;
  }

  /** Ends the request; before it is written nothing is sent at all. */
  abort(reason: RefusalReason): void {
    this.#abortReason ??= reason;
    this.#controller?.abort(new CallError('The call was cancelled'));
  }

  /** Called right before the request is written to an open connection. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    // A node that gets too little processor time learns of an open connection before it learns of the
    // cancel or runs the timer.
    if (this.open.deadlineAtMs <= monotonicNowMs()) {
      this.#abortReason ??= RefusalReason.DeadlinePassed;
    }
    if (this.#abortReason !== undefined) {
      controller.abort(new CallError('The call was cancelled before it was written'));
    } else if (this.#wasWritten && !this.open.isIdempotent) {
      controller.abort(new CallError('A non-idempotent request is never written twice'));
    } else {
      this.#wasWritten = true;
      this.#writtenAtMs = monotonicNowMs();
    }
  }

  onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
    if (status < 200) return;
    const raw = readRaw((controller.rawHeaders ?? []) as (Buffer | string)[]);
    const headers = pairHeaders(raw);
    const { protocol } = this.options;
    const meaning = protocol.classifyAnswer(this.open.requestId, { status, headers });
    if (meaning === AnswerKind.Foreign) {
      controller.abort(new CallError('The answer belongs to another request'));
      return;
    }
    const names = headers.map(([name]) => name);
    this.#isDelimited = names.includes('content-length') || names.includes('transfer-encoding');
    const hasBody = this.open.method !== 'HEAD' && !bodilessStatuses.has(status);
    if (hasBody && !this.#isDelimited && !protocol.acceptsAnswersWithoutLength) {
      // The end of such a body is the end of the connection, so that a cut looks like an end.
      controller.abort(new CallError('The answer has neither a length nor chunks'));
      return;
    }
    this.#status = status;
    this.#advertisedMs = readKeepAliveMs(raw);
    if (meaning !== AnswerKind.Answer) {
      this.#refuse(meaning);
      return;
    }
    this.#body = new BodyChannel(this);
    this.#headers = forwardHeaders(raw, protocol.nodeOnlyAnswerHeaders);
    if (this.options.bufferedAnswerMaxBytes === 0) this.#handOver();
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (!this.#body) return;
    this.#bufferedBytes += chunk.byteLength;
    this.#body.push(chunk);
    if (!this.#isHandedOver) {
      if (this.#bufferedBytes <= this.options.bufferedAnswerMaxBytes) return;
      if (this.#isDelimited) this.#handOver();
      else controller.abort(new CallError('The answer without a length is too large'));
    }
    if (this.#bufferedBytes > bufferMaxBytes) controller.pause();
  }

  onResponseEnd(controller: Dispatcher.DispatchController): void {
    if (!this.#isDelimited && this.#connection?.hasErrored) {
      const error = new CallError('The connection broke before the end of the answer');
      this.onResponseError(controller, error);
      return;
    }
    this.#body?.end();
    if (this.#body && !this.#isHandedOver) this.#handOver();
    this.#keepAliveMs = this.#advertisedMs;
    this.#end(this.#status >= statusServerError && !this.#isRefused);
  }

  onResponseError(_: Dispatcher.DispatchController, error: Error): void {
    const detail = `the request to the backend server failed: ${error.message}`;
    if (this.#isHandedOver) this.#body?.fail(new CallError(detail, { cause: error }));
    else if (!this.#isRefused) {
      const failure = this.#wasWritten
        ? RefusalReason.BackendServerFailed
        : RefusalReason.ConnectFailed;
      const reason = this.#abortReason ?? failure;
      const refusal = this.options.classifier.classify(this.#wasWritten, reason, detail);
      this.#resolve({ kind: 'refusal', refusal });
    }
    this.#end(!this.#isRefused);
  }

  onConsumed(bytes: number): void {
    this.#bufferedBytes -= bytes;
    if (this.#bufferedBytes <= bufferMaxBytes / 2) this.#controller?.resume();
  }

  onAbandoned(): void {
    this.abort(RefusalReason.Cancelled);
  }

  #handOver(): void {
    if (!this.#body) return;
    this.#isHandedOver = true;
    const answer = { status: this.#status, headers: this.#headers, body: this.#body };
    this.#resolve({ kind: 'answer', answer });
  }

  #refuse(meaning: AnswerKind.NotRun | AnswerKind.WrongServer): void {
    this.#isRefused = true;
    const refusal: CallRefusal =
      meaning === AnswerKind.NotRun
        ? createNotRunRefusal(
            RefusalReason.BackendServerRefused,
            'the backend server refused the request',
          )
        : createNotRunRefusal(RefusalReason.WrongServer, 'another server has the address');
    this.#resolve({ kind: 'refusal', refusal });
  }

  #end(hasFailed: boolean): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#onEnd({
      hasFailed,
      hasRun: this.#wasWritten && !this.#isRefused,
      wasShed: this.#isRefused,
      status: this.#status,
    });
    this.#onReleased();
  }
}
