import type { ServerResponse } from 'node:http';
import { BodyChannel, isAnswerStatus, type BodyMemoryBudget } from '@sequoiafield/transport';
import { RefusalReason, type CallAnswer, type CallRefusal } from '@sequoiafield/types';
import { replayableBodyMaxBytes } from './body-memory.js';
import type { CallProtocol } from './call-protocol.js';
import { bodilessStatuses } from './headers.js';
import { createUnknownOutcomeRefusal } from './refusals.js';

/** Challenge of an answer with status 401, which must have one (RFC 9110, section 15.5.2). */
const keyChallenge = 'ApiKey';

/** Writes the result of a call to its caller's connection. */
export class AnswerWriter {
  constructor(
    private readonly response: ServerResponse,
    private readonly requestId: string,
    private readonly protocol: CallProtocol,
    /** Whether the caller must not reuse its connection to this node. */
    private readonly isClosing: () => boolean = () => false,
    /** Counts large answers until their caller has read them. */
    private readonly budget?: BodyMemoryBudget,
  ) {
    // A write to a connection that the caller has just closed emits an error; unhandled, it would
    // end the process.
    response.on('error', () => undefined);
  }

  /**
   * Writes an answer; if its body is incomplete, resets the caller's connection and returns false.
   */
  async writeAnswer(answer: CallAnswer): Promise<boolean> {
    const { response } = this;
    const { body } = answer;
    if (response.destroyed) {
      await body[Symbol.asyncIterator]().return?.();
      return false;
    }
    if (!isAnswerStatus(answer.status)) {
      await body[Symbol.asyncIterator]().return?.();
      const detail = 'the answer has an invalid status';
      const refusal = createUnknownOutcomeRefusal(RefusalReason.BackendServerFailed, detail);
      this.writeRefusal(refusal, false);
      return false;
    }
    const wholeBody = body instanceof BodyChannel ? body.takeWhole() : undefined;
    const headers = this.#createHeaders(answer);
    if (wholeBody) {
      // With a length, the answer needs no chunked coding.
      if (this.#needsLength(answer)) headers.push('content-length', String(wholeBody.byteLength));
      response.writeHead(answer.status, headers);
      this.#countUntilRead(wholeBody.byteLength);
      response.end(wholeBody);
      return true;
    }
    response.writeHead(answer.status, headers);
    try {
      await this.#writeStream(body);
      return true;
    } catch {
      // Resets the connection, since an orderly close would end a body without a length as if
      // complete. Behind unsent answers, it is reset when the turn of this one comes.
      if (response.socket) response.socket.resetAndDestroy();
      else response.destroy();
      return false;
    }
  }

  /** Writes a refusal with its outcome and reason in headers and in a JSON body. */
  writeRefusal(refusal: CallRefusal, isClosing: boolean): void {
    const { response, requestId } = this;
    if (response.destroyed || response.headersSent) return;
    const { outcome, reason, detail } = refusal;
    const body = Buffer.from(JSON.stringify({ outcome, reason, detail, requestId }));
    const head = this.protocol.refusalHead(refusal);
    const headers = [this.protocol.requestIdHeader, requestId];
    for (const [name, value] of head.headers) headers.push(name, value);
    if (reason === RefusalReason.UnknownKey) headers.push('www-authenticate', keyChallenge);
    headers.push('content-type', 'application/json', 'content-length', String(body.byteLength));
    if (isClosing || this.isClosing()) this.#close(headers);
    response.writeHead(head.status, headers);
    response.end(response.req.method === 'HEAD' ? undefined : body);
  }

  #createHeaders(answer: CallAnswer): string[] {
    const headers = [this.protocol.requestIdHeader, this.requestId];
    for (const [name, value] of answer.headers) headers.push(name, value);
    if (this.isClosing()) this.#close(headers);
    return headers;
  }

  #close(headers: string[]): void {
    headers.push('connection', 'close');
    // Read by `PipelinedRequests`, which starts nothing behind this response.
    this.response.shouldKeepAlive = false;
  }

  #countUntilRead(bytes: number): void {
    if (!this.budget || bytes <= replayableBodyMaxBytes) return;
    this.budget.add(bytes);
    this.response.once('close', () => this.budget?.release(bytes));
  }

  #needsLength(answer: CallAnswer): boolean {
    if (this.response.req.method === 'HEAD' || bodilessStatuses.has(answer.status)) return false;
    return !answer.headers.some(([name]) => name === 'content-length');
  }

  async #writeStream(body: AsyncIterable<Uint8Array>): Promise<void> {
    const { response } = this;
    for await (const chunk of body) {
      if (response.destroyed) return;
      if (!response.write(chunk)) await this.#whenWritable();
    }
    response.end();
  }

  /** Resolves once the written bytes were flushed to the caller or its connection closed. */
  #whenWritable(): Promise<void> {
    const { response } = this;
    return new Promise((resolve) => {
      const onWritable = (): void => {
        response.off('drain', onWritable);
        response.off('close', onWritable);
        resolve();
      };
      response.on('drain', onWritable);
      response.on('close', onWritable);
    });
  }
}
