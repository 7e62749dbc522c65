import { CallError } from '@sequoiafield/errors';
import { BodyChannel, type BodyChannelOwner } from '@sequoiafield/transport';
import { monotonicNowMs } from '@sequoiafield/tables';
import { RefusalReason } from '@sequoiafield/types';
import type { Dispatcher } from 'undici';
import type { BackendEnd, BackendResult } from './backend-client.js';
import {
  backendRefusedHeader,
  backendRefusedNotRun,
  bodilessStatuses,
  findHeader,
  forwardAnswerHeaders,
  readKeepAliveMs,
} from './headers.js';
import type { FailureClassifier } from './failure-classifier.js';
import { notRun } from './refusals.js';

/** Bytes of an answer that wait for the caller before the backend server is paused. */
const bufferMaxBytes = 256 * 1024;
const statusUnavailable = 503;
const statusServerError = 500;

const readRaw = (raw: readonly (Buffer | string)[]): string[] =>
  raw.map((part) => (typeof part === 'string' ? part : part.toString('latin1')));

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

  #onEnd: (end: BackendEnd) => void = () => undefined;

  #onReleased: () => void = () => undefined;

  #writtenAtMs = 0;

  /** Advertised by the head of the answer. */
  #advertisedMs = 0;

  /** Set once the answer is complete, since a broken one leaves no connection. */
  #keepAliveMs = 0;

  #abortReason: RefusalReason | undefined;

  constructor(
    private readonly isIdempotent: boolean,
    private readonly hasBody: boolean,
    private readonly classifier: FailureClassifier,
  ) {
    this.result = new Promise((resolve) => {
      this.#resolve = resolve;
    });
  }

  /** Sets what is called once, when nothing of the request is left on its connection. */
  onceEnded(onEnd: (end: BackendEnd) => void): void {
    this.#onEnd = onEnd;
  }

  /** Sets what is called after that, when the connection may carry another request. */
  onceReleased(onReleased: () => void): void {
    this.#onReleased = onReleased;
  }

  /** When the request was written, on the monotonic clock; 0 if it was not. */
  get writtenAtMs(): number {
    return this.#writtenAtMs;
  }

  /** Until when the server keeps the connection open at least, by its last answer; 0 if unknown. */
  get keptUntilMs(): number {
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
    if (this.#abortReason !== undefined) {
      controller.abort(new CallError('The call was cancelled before it was written'));
    } else if (this.#wasWritten && !this.isIdempotent) {
      controller.abort(new CallError('A non-idempotent request is never written twice'));
    } else {
      this.#wasWritten = true;
      this.#writtenAtMs = monotonicNowMs();
    }
  }

  onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
    if (status < 200) return;
    const raw = readRaw((controller.rawHeaders ?? []) as (Buffer | string)[]);
    const names = raw.filter((_, at) => at % 2 === 0).map((name) => name.toLowerCase());
    const isDelimited = names.includes('content-length') || names.includes('transfer-encoding');
    if (this.hasBody && !isDelimited && !bodilessStatuses.has(status)) {
      // The end of such a body is the end of the connection, so that a cut looks like an end.
      controller.abort(new CallError('The answer has neither a length nor chunks'));
      return;
    }
    this.#status = status;
    this.#advertisedMs = readKeepAliveMs(raw);
    if (status === statusUnavailable && this.#isNotRun(raw)) {
      this.#isRefused = true;
      const detail = 'the backend server refused the request';
      const refusal = notRun(RefusalReason.BackendServerRefused, detail);
      this.#resolve({ kind: 'refusal', refusal });
      return;
    }
    this.#body = new BodyChannel(this);
    const headers = forwardAnswerHeaders(raw);
    this.#resolve({ kind: 'answer', answer: { status, headers, body: this.#body } });
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (!this.#body) return;
    this.#bufferedBytes += chunk.byteLength;
    this.#body.push(chunk);
    if (this.#bufferedBytes > bufferMaxBytes) controller.pause();
  }

  onResponseEnd(): void {
    this.#body?.end();
    this.#keepAliveMs = this.#advertisedMs;
    this.#end(this.#status >= statusServerError && !this.#isRefused);
  }

  onResponseError(_: Dispatcher.DispatchController, error: Error): void {
    const detail = `the request to the backend server failed: ${error.message}`;
    if (this.#body) this.#body.fail(new CallError(detail, { cause: error }));
    else if (!this.#isRefused) {
      const failure = this.#wasWritten
        ? RefusalReason.BackendServerFailed
        : RefusalReason.ConnectFailed;
      const reason = this.#abortReason ?? failure;
      const refusal = this.classifier.classify(this.#wasWritten, reason, detail);
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

  #isNotRun(raw: readonly string[]): boolean {
    const pairs = raw.flatMap((name, at) =>
      at % 2 === 0 ? [[name.toLowerCase(), raw[at + 1] ?? ''] as const] : [],
    );
    return findHeader(pairs, backendRefusedHeader) === backendRefusedNotRun;
  }

  #end(hasFailed: boolean): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#onEnd({ hasFailed, hasRun: this.#wasWritten && !this.#isRefused });
    this.#onReleased();
  }
}
