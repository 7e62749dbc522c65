import type { ServerResponse } from 'node:http';
import { BodyChannel } from '@sequoiafield/transport';
import { outcomeHeader, reasonHeader, requestIdHeader } from '@sequoiafield/types';
import type { CallAnswer, CallRefusal } from '@sequoiafield/types';
import { bodilessStatuses } from './headers.js';
import { statusOf } from './refusals.js';

const flattenHeaders = (answer: CallAnswer, requestId: string): string[] => {
  const headers: string[] = [requestIdHeader, requestId];
  for (const [name, value] of answer.headers) headers.push(name, value);
  return headers;
};

/** Writes results to a caller's connection. */
export class AnswerWriter {
  constructor(
    private readonly response: ServerResponse,
    private readonly requestId: string,
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
    const headers = flattenHeaders(answer, this.requestId);
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
    const headers = [
      requestIdHeader,
      requestId,
      outcomeHeader,
      outcome,
      reasonHeader,
      reason,
      'content-type',
      'application/json',
      'content-length',
      String(body.byteLength),
    ];
    if (isClosing) headers.push('connection', 'close');
    response.writeHead(statusOf(refusal), headers);
    response.end(response.req.method === 'HEAD' ? undefined : body);
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
