import type { ServerResponse } from 'node:http';
import { BodyChannel } from '@sequoiafield/transport';
import type { CallAnswer, CallRefusal } from '@sequoiafield/types';
import type { CallProtocol } from './call-protocol.js';
import { bodilessStatuses } from './headers.js';

/** Writes results to a caller's connection. */
export class AnswerWriter {
  constructor(
    private readonly response: ServerResponse,
    private readonly requestId: string,
    private readonly protocol: CallProtocol,
    /** Whether the caller shall use no connection of this node again. */
    private readonly isClosing: () => boolean = () => false,
  ) {
    // Writing to a caller that has just gone away emits an error, which would end the process.
    response.on('error', () => undefined);
  }

  /** Writes an answer; returns false if its body broke off, which the caller sees as a reset. */
  async writeAnswer(answer: CallAnswer): Promise<boolean> {
    const { response } = this;
    const { body } = answer;
    if (response.destroyed) {
      await body[Symbol.asyncIterator]().return?.();
      return false;
    }
    const whole = body instanceof BodyChannel ? body.takeWhole() : undefined;
    const headers = this.#headersOf(answer);
    if (whole) {
      // A length spares the caller the chunked coding.
      if (this.#needsLength(answer)) headers.push('content-length', String(whole.byteLength));
      response.writeHead(answer.status, headers);
      response.end(whole);
      return true;
    }
    response.writeHead(answer.status, headers);
    try {
      await this.#stream(body);
      return true;
    } catch {
      // A reset, since an orderly close would end a body without a length as if it were complete.
      response.socket?.resetAndDestroy();
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
    headers.push('content-type', 'application/json', 'content-length', String(body.byteLength));
    if (isClosing || this.isClosing()) headers.push('connection', 'close');
    response.writeHead(head.status, headers);
    response.end(response.req.method === 'HEAD' ? undefined : body);
  }

  #headersOf(answer: CallAnswer): string[] {
    const headers = [this.protocol.requestIdHeader, this.requestId];
    for (const [name, value] of answer.headers) headers.push(name, value);
    if (this.isClosing()) headers.push('connection', 'close');
    return headers;
  }

  #needsLength(answer: CallAnswer): boolean {
    if (this.response.req.method === 'HEAD' || bodilessStatuses.has(answer.status)) return false;
    return !answer.headers.some(([name]) => name === 'content-length');
  }

  async #stream(body: AsyncIterable<Uint8Array>): Promise<void> {
    const { response } = this;
    for await (const chunk of body) {
      if (response.destroyed) return;
      if (!response.write(chunk)) await this.#whenWritable();
    }
    response.end();
  }

  /** Waits until the caller has taken what was written or is gone. */
  #whenWritable(): Promise<void> {
    const { response } = this;
    return new Promise((resolve) => {
      const done = (): void => {
        response.off('drain', done);
        response.off('close', done);
        resolve();
      };
      response.on('drain', done);
      response.on('close', done);
    });
  }
}
