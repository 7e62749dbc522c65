import { Agent, request as sendHttp } from 'undici';
import { deadlineHeader, outcomeHeader, reasonHeader, requestIdHeader } from '@sequoiafield/types';
import { findAnswerProblem } from '../backend-server/answer-body.js';
import { refusedHeader } from '../backend-server/backend-server.js';
import type { PlannedRequest } from './call-plan.js';
import { RequestOutcome } from './request-outcome.js';

/** Time beyond the deadline after which an answer counts as missing. */
const answerGraceMs = 1000;

/** Outcome, status and detail of the response to one request. */
export interface CallResponse {
  readonly outcome: RequestOutcome;
  readonly status: number;
  readonly detail: string;
}

/**
 * Sends each request once, without retries, and checks the answer.
 *
 * @example
 * const client = new CallClient(64, 2000);
 * const { outcome } = await client.send('http://127.0.0.1:8080', planned);
 */
export class CallClient {
  readonly #agent: Agent;

  constructor(
    connectionsMax: number,
    private readonly deadlineMs: number,
  ) {
    this.#agent = new Agent({
      connections: connectionsMax,
      pipelining: 1,
      headersTimeout: deadlineMs + answerGraceMs,
      bodyTimeout: deadlineMs + answerGraceMs,
    });
  }

  async send(target: string, planned: PlannedRequest): Promise<CallResponse> {
    try {
      const { statusCode, headers, body } = await sendHttp(`${target}${planned.path}`, {
        dispatcher: this.#agent,
        method: planned.method as 'GET',
        headers: {
          [requestIdHeader]: planned.requestId,
          [deadlineHeader]: String(this.deadlineMs),
          'content-type': 'application/octet-stream',
        },
        body: planned.body === '' ? null : planned.body,
      });
      return this.#classify(planned, statusCode, headers, await body.text());
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      return { outcome: RequestOutcome.NoResponse, status: 0, detail };
    }
  }

  async close(): Promise<void> {
    await this.#agent.close();
  }

  #classify(
    planned: PlannedRequest,
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
    text: string,
  ): CallResponse {
    const refusal = headers[outcomeHeader] ?? headers[refusedHeader];
    if (refusal !== undefined) {
      const outcome =
        refusal === 'not-run' ? RequestOutcome.RefusedNotRun : RequestOutcome.RefusedUnknown;
      return { outcome, status, detail: String(headers[reasonHeader] ?? '') };
    }
    if (status >= 400)
      return { outcome: RequestOutcome.Failed, status, detail: text.slice(0, 200) };
    const problem = findAnswerProblem(text, planned);
    return problem === undefined
      ? { outcome: RequestOutcome.Answered, status, detail: '' }
      : { outcome: RequestOutcome.WrongAnswer, status, detail: problem };
  }
}
