import {
  RefusalOutcome,
  RefusalReason,
  type CallRefusal,
  type CallResult,
} from '@sequoiafield/types';

const status = {
  notFound: 404,
  tooLarge: 413,
  badGateway: 502,
  unavailable: 503,
  gatewayTimeout: 504,
} as const;

/**
 * Refusal of a request that certainly did not run.
 *
 * @example
 * return { kind: 'refusal', refusal: createNotRunRefusal(RefusalReason.Draining, 'the node is stopping') };
 */
export const createNotRunRefusal = (reason: RefusalReason, detail: string): CallRefusal => ({
  outcome: RefusalOutcome.NotRun,
  reason,
  detail,
});

/** Refusal of a request that may have run. */
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
 * HTTP status of a refusal: 503 for not run, 502 or 504 for unknown; 404 and 413 where no node could
 * take the request.
 *
 * @example
 * httpStatusOf(createNotRunRefusal(RefusalReason.Draining, 'the node is stopping')); // 503
 */
export const httpStatusOf = (refusal: CallRefusal): number => {
  if (refusal.outcome === RefusalOutcome.NotRun) {
    if (refusal.reason === RefusalReason.NoRoute) return status.notFound;
    if (refusal.reason === RefusalReason.BodyTooLarge) return status.tooLarge;
    return status.unavailable;
  }
  return refusal.reason === RefusalReason.DeadlinePassed
    ? status.gatewayTimeout
    : status.badGateway;
};
