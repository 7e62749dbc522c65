import { createHash } from 'node:crypto';

/** Body of an answer; identifies the request that the answer belongs to. */
export interface AnswerBody {
  readonly requestId: string;
  readonly serverId: string;
  readonly service: string;
  readonly backendVersion: string;
  readonly method: string;
  readonly path: string;
  /** SHA-256 (hex) of the request's body. */
  readonly requestDigest: string;
  readonly payload: string;
  /** SHA-256 (hex) over all fields above. */
  readonly digest: string;
}

/** Fields of a sent request that its answer is checked against. */
export interface SentRequest {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
}

/**
 * Computes the SHA-256 of a text or bytes, in hex.
 *
 * @example
 * sha256Hex('abc');
 */
export const sha256Hex = (text: string | Uint8Array): string =>
  createHash('sha256').update(text).digest('hex');

const computeDigest = (fields: Omit<AnswerBody, 'digest'>): string =>
  sha256Hex(
    [
      fields.requestId,
      fields.serverId,
      fields.service,
      fields.backendVersion,
      fields.method,
      fields.path,
      fields.requestDigest,
      fields.payload,
    ].join('\n'),
  );

/**
 * Builds the answer to a request; the payload has `payloadBytes` and depends on the request id.
 *
 * @example
 * buildAnswerBody({ requestId, serverId, service, backendVersion, method, path, requestDigest }, 64);
 */
export const buildAnswerBody = (
  request: Omit<AnswerBody, 'payload' | 'digest'>,
  payloadBytes: number,
): AnswerBody => {
  const pattern = sha256Hex(request.requestId);
  const payload = pattern
    .repeat(Math.ceil(payloadBytes / pattern.length))
    .slice(0, Math.max(0, payloadBytes));
  const fields = { ...request, payload };
  return { ...fields, digest: computeDigest(fields) };
};

/**
 * Returns what is wrong with an answer, or undefined if it is complete and belongs to the request.
 *
 * @example
 * const problem = findAnswerProblem(text, { requestId, method, path, body });
 */
export const findAnswerProblem = (text: string, sent: SentRequest): string | undefined => {
  let answer: AnswerBody;
  try {
    answer = JSON.parse(text) as AnswerBody;
  } catch {
    return 'answer is not whole JSON';
  }
  if (answer.requestId !== sent.requestId) return `answer belongs to request ${answer.requestId}`;
  if (answer.method !== sent.method) return `answer has method ${answer.method}`;
  if (answer.path !== sent.path) return `answer has path ${answer.path}`;
  if (answer.requestDigest !== sha256Hex(sent.body)) return 'request body arrived changed';
  return answer.digest === computeDigest(answer) ? undefined : 'digest of the answer differs';
};
