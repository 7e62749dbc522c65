import { CallError } from '@sequoiafield/errors';
import { BodyChannel, isAnswerStatus, type BodyChannelOwner } from '@sequoiafield/transport';
import { monotonicNowMs } from '@sequoiafield/tables';
import { bodyMaxBytes, RefusalReason, type CallOpen, type CallRefusal } from '@sequoiafield/types';
import type { Dispatcher } from 'undici';
import type { BackendRequestOutcome, BackendResult } from './backend-client.js';
import type { BodyMemory } from './body-memory.js';
import { AnswerKind, type CallProtocol, type HeaderPair } from './call-protocol.js';
import { bodilessStatuses, forwardHeaders, pairHeaders, readKeepAliveMs } from './headers.js';
import type { FailureClassifier } from './failure-classifier.js';
import { createNotRunRefusal } from './refusals.js';

/** Unconsumed bytes of an answer above which reading from the backend server is paused. */
const bufferMaxBytes = 256 * 1024;
/** Bytes of a refusal's body that are read and dropped, so that its connection can be reused. */
const refusalBodyMaxBytes = 16 * 1024;
const informationalStatusMin = 100;
const answerStatusMin = 200;
const serverErrorStatusMin = 500;

const decodeHeaders = (raw: readonly (Buffer | string)[]): string[] =>
  raw.map((value) => (typeof value === 'string' ? value : value.toString('latin1')));

/** Options that are the same for all exchanges of a client. */
export interface BackendExchangeOptions {
  readonly classifier: FailureClassifier;
  readonly protocol: CallProtocol;
  /** Answers up to this size are read completely before they are returned. */
  readonly bufferedAnswerMaxBytes: number;
  /** Memory for the part of an answer that its reader has not taken; left out for a fixed bound. */
  readonly bodyMemory?: BodyMemory;
}

/** Handles one request on a connection to the backend server, as a dispatch handler of `undici`. */
export class BackendExchange implements Dispatcher.DispatchHandler, BodyChannelOwner {
  readonly result: Promise<BackendResult>;

  #resolve!: (result: BackendResult) => void;

  #body: BodyChannel | undefined;

  #controller: Dispatcher.DispatchController | undefined;

  #bufferedBytes = 0;

  /** Bytes of them that were taken from the memory for bodies. */
  #heldBytes = 0;

  /** Bytes of the body so far; a server in trouble may send bytes without end. */
  #receivedBytes = 0;

  #wasWritten = false;

  #isEnded = false;

  #isRefused = false;

  #status = 0;

  #onEnd: (outcome: BackendRequestOutcome) => void = () => undefined;

  #onReleased: () => void = () => undefined;

  #onWritten: () => void = () => undefined;

  #writtenAtMs = 0;

  /** Keep-alive time that the head of the answer advertised. */
  #advertisedKeepAliveMs = 0;

  /**
   * Set once the answer is complete, since the connection of an incomplete answer cannot be reused.
   */
  #usableKeepAliveMs = 0;

  #abortReason: RefusalReason | undefined;

  #headers: readonly HeaderPair[] = [];

  #isAnswerResolved = false;

  #isAnswerWhole = false;

  #hasLostConnection = false;

  #connection: { readonly hasErrored: boolean } | undefined;

  /** Whether the answer has a length or chunks, by which its end can be detected. */
  #isDelimited = true;

  constructor(
    private readonly open: CallOpen,
    private readonly options: BackendExchangeOptions,
  ) {
    this.result = new Promise((resolve) => {
      this.#resolve = resolve;
    });
  }

  /**
   * Sets the function to call once, when its connection carries no part of the request any more.
   */
  onceEnded(onEnd: (outcome: BackendRequestOutcome) => void): void {
    this.#onEnd = onEnd;
  }

  /** Sets the function to call once, right before the request is first written. */
  onceWritten(onWritten: () => void): void {
    this.#onWritten = onWritten;
  }

  /** Sets the function to call after that of `onceEnded`, when the connection may be reused. */
  onceReleased(onReleased: () => void): void {
    this.#onReleased = onReleased;
  }

  /**
   * Sets the connection of the request; without it, a reset is taken for the end of an answer that
   * has no length.
   */
  useConnection(connection: { readonly hasErrored: boolean }): void {
    this.#connection = connection;
  }

  /** Time at which the request was written, on the monotonic clock; 0 if it was not. */
  get writtenAtMs(): number {
    return this.#writtenAtMs;
  }

  /**
   * Time until which the server keeps the connection open at least, as its answer advertised; 0 if
   * unknown.
   */
  get keepAliveUntilMs(): number {
    return this.#usableKeepAliveMs === 0 ? 0 : this.#writtenAtMs + this.#usableKeepAliveMs;
  }

  /** Whether the whole answer was read, so that nothing of it is left on the connection. */
  get isAnswerWhole(): boolean {
    return this.#isAnswerWhole;
  }

  /** Whether the server ended, reset or refused the connection before the answer was whole. */
  get hasLostConnection(): boolean {
    return this.#hasLostConnection;
  }

  /** Aborts the request; if it is not written yet, nothing is sent. */
  abort(reason: RefusalReason): void {
    this.#abortReason ??= reason;
    this.#controller?.abort(new CallError('The call was cancelled'));
  }

  /** Called right before the request is written to an open connection. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    // On a node with too little processor time, the connection may open before the cancel is read
    // or the deadline timer fires.
    if (this.open.deadlineAtMs <= monotonicNowMs()) {
      this.#abortReason ??= RefusalReason.DeadlinePassed;
    }
    if (this.#abortReason !== undefined) {
      controller.abort(new CallError('The call was cancelled before it was written'));
    } else if (this.#wasWritten && !this.open.isIdempotent) {
      controller.abort(new CallError('A non-idempotent request is never written twice'));
    } else {
      if (!this.#wasWritten) this.#onWritten();
      this.#wasWritten = true;
      this.#writtenAtMs = monotonicNowMs();
    }
  }

  onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
    if (status >= informationalStatusMin && status < answerStatusMin) return;
    if (!isAnswerStatus(status)) {
      controller.abort(new CallError(`The answer has the invalid status ${status}`));
      return;
    }
    const raw = decodeHeaders((controller.rawHeaders ?? []) as (Buffer | string)[]);
    const headers = pairHeaders(raw);
    const { protocol } = this.options;
    const answerKind = protocol.classifyAnswer(this.open.requestId, { status, headers });
    if (answerKind === AnswerKind.Foreign) {
      controller.abort(new CallError('The answer belongs to another request'));
      return;
    }
    const names = headers.map(([name]) => name);
    this.#isDelimited = names.includes('content-length') || names.includes('transfer-encoding');
    const hasBody = this.open.method !== 'HEAD' && !bodilessStatuses.has(status);
    if (hasBody && !this.#isDelimited && !protocol.acceptsAnswersWithoutLength) {
      // Such a body ends with its connection, so that a truncated body would look complete.
      controller.abort(new CallError('The answer has neither a length nor chunks'));
      return;
    }
    this.#status = status;
    this.#advertisedKeepAliveMs = readKeepAliveMs(raw);
    if (answerKind !== AnswerKind.Answer) {
      this.#resolveRefusal(answerKind);
      // A copy that names no request could be taken for the answer to the next one.
      const isKept = this.#isDelimited && protocol.namesRequest({ status, headers });
      if (!isKept) controller.abort(new CallError('The refusal names no request or has no length'));
      return;
    }
    this.#body = new BodyChannel(this);
    this.#headers = forwardHeaders(raw, protocol.nodeOnlyAnswerHeaders);
    if (this.options.bufferedAnswerMaxBytes === 0) this.#resolveAnswer();
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#receivedBytes += chunk.byteLength;
    const maxBytes = this.#isRefused ? refusalBodyMaxBytes : bodyMaxBytes;
    if (this.#receivedBytes > maxBytes) {
      controller.abort(new CallError(`The answer is longer than ${maxBytes} bytes`));
      return;
    }
    if (!this.#body) return;
    this.#bufferedBytes += chunk.byteLength;
    this.#body.push(chunk);
    if (!this.#isAnswerResolved) {
      if (this.#bufferedBytes <= this.options.bufferedAnswerMaxBytes) return;
      if (this.#isDelimited) this.#resolveAnswer();
      else controller.abort(new CallError('The answer without a length is too large'));
    }
    if (this.#bufferedBytes > bufferMaxBytes && !this.#holdMore(chunk.byteLength)) {
      controller.pause();
    }
  }

  onResponseEnd(controller: Dispatcher.DispatchController): void {
    if (!this.#isDelimited && this.#connection?.hasErrored) {
      this.onResponseError(
        controller,
        new Error('The connection broke before the end of the answer'),
      );
      return;
    }
    this.#isAnswerWhole = true;
    this.#body?.end();
    if (this.#body && !this.#isAnswerResolved) this.#resolveAnswer();
    this.#usableKeepAliveMs = this.#advertisedKeepAliveMs;
    this.#end(this.#status >= serverErrorStatusMin && !this.#isRefused);
  }

  onResponseError(_: Dispatcher.DispatchController, error: Error): void {
    // Errors of this project end a connection for what was sent on it.
    this.#hasLostConnection = !(error instanceof CallError);
    const detail = `the request to the backend server failed: ${error.message}`;
    if (this.#isAnswerResolved) this.#body?.fail(new CallError(detail, { cause: error }));
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
    const releasedBytes = Math.min(bytes, this.#heldBytes);
    if (releasedBytes > 0) {
      this.#heldBytes -= releasedBytes;
      this.options.bodyMemory?.node.release(releasedBytes);
    }
    if (this.#bufferedBytes <= bufferMaxBytes / 2) this.#controller?.resume();
  }

  onAbandoned(): void {
    this.abort(RefusalReason.Cancelled);
  }

  /** Takes memory for more of an answer, so that a slow reader does not keep the slot of its call. */
  #holdMore(bytes: number): boolean {
    const { bodyMemory } = this.options;
    if (!bodyMemory || this.#heldBytes + bytes > bodyMemory.answerMaxBytes) return false;
    if (!bodyMemory.node.tryTake(bytes)) return false;
    this.#heldBytes += bytes;
    return true;
  }

  #resolveAnswer(): void {
    if (!this.#body) return;
    this.#isAnswerResolved = true;
    const answer = { status: this.#status, headers: this.#headers, body: this.#body };
    this.#resolve({ kind: 'answer', answer });
  }

  #resolveRefusal(answerKind: AnswerKind.NotRun | AnswerKind.WrongServer): void {
    this.#isRefused = true;
    const refusal: CallRefusal =
      answerKind === AnswerKind.NotRun
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
