import type { RandomSource } from '@sequoiafield/tables';
import {
  RefusalOutcome,
  RefusalReason,
  type CallRefusal,
  type CallResult,
} from '@sequoiafield/types';

const httpStatus = {
  unauthorized: 401,
  notFound: 404,
  tooLarge: 413,
  badGateway: 502,
  unavailable: 503,
  gatewayTimeout: 504,
} as const;

/**
 * Creates the refusal of a request that certainly did not run.
 *
 * @example
 * return { kind: 'refusal', refusal: createNotRunRefusal(RefusalReason.Draining, 'the node is stopping') };
 */
export const createNotRunRefusal = (reason: RefusalReason, detail: string): CallRefusal => ({
  outcome: RefusalOutcome.NotRun,
  reason,
  detail,
});

/** Retry hint while there is no memory for a body; a body is held for about as long as a call takes. */
const memoryRetryAfterMs = 200;

/** Creates the refusal of a request whose body finds no memory; with jitter if `random` is given. */
export const createMemoryRefusal = (random?: RandomSource): CallRefusal => ({
  ...createNotRunRefusal(RefusalReason.QueueFull, 'the memory for request bodies is in use'),
  retryAfterMs: memoryRetryAfterMs * (random ? 0.5 + random.next() : 1),
});

/** Creates the refusal of a request that may have run. */
export const createUnknownOutcomeRefusal = (
  reason: RefusalReason,
  detail: string,
): CallRefusal => ({
  outcome: RefusalOutcome.Unknown,
  reason,
  detail,
});

/** Wraps a refusal as the result of an attempt. */
export const toRefusalResult = (refusal: CallRefusal): CallResult => ({ kind: 'refusal', refusal });

/**
 * Returns the HTTP status of a refusal: 503 for not run, 502 or 504 for unknown; 401, 404 and 413
 * for requests that every node would refuse.
 *
 * @example
 * httpStatusOf(createNotRunRefusal(RefusalReason.Draining, 'the node is stopping')); // 503
 */
export const httpStatusOf = (refusal: CallRefusal): number => {
  if (refusal.outcome === RefusalOutcome.NotRun) {
    if (refusal.reason === RefusalReason.UnknownKey) return httpStatus.unauthorized;
    if (refusal.reason === RefusalReason.NoRoute) return httpStatus.notFound;
    if (refusal.reason === RefusalReason.BodyTooLarge) return httpStatus.tooLarge;
    return httpStatus.unavailable;
  }
  return refusal.reason === RefusalReason.DeadlinePassed
    ? httpStatus.gatewayTimeout
    : httpStatus.badGateway;
};
