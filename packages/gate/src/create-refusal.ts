import { RefusalOutcome, type CallRefusal, type RefusalReason } from '@sequoiafield/types';

/** Creates the refusal of a call that did not run; `retryAfterMs` is left out if it is unknown. */
export const createRefusal = (
  reason: RefusalReason,
  detail: string,
  retryAfterMs?: number,
): CallRefusal => ({
  outcome: RefusalOutcome.NotRun,
  reason,
  detail,
  ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
});
