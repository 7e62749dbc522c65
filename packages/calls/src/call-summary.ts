import type { CallRefusal, CallResult } from '@sequoiafield/types';
import { httpStatusOf } from './refusals.js';
import type { RoutedRequest } from './create-open.js';
import type { RetryingCall } from './retrying-call.js';

/** Summary of a call that ended, for the log. */
export interface CallSummary {
  readonly requestId: string;
  readonly route: string;
  readonly service: string;
  /** HTTP status that was sent to the caller. */
  readonly status: number;
  /** Members that were tried, in order; an attempt may have failed to reach its member. */
  readonly memberIds: readonly string[];
  /** Attempts that reached a backend server, or may have. */
  readonly sentToServers: number;
  readonly configVersion: number;
  readonly tookMs: number;
  readonly refusal: CallRefusal | undefined;
}

/** Creates the summary of a call that ended. */
export const summarizeCall = (
  call: RoutedRequest,
  { memberIds, sentToServers }: Pick<RetryingCall, 'memberIds' | 'sentToServers'>,
  result: CallResult,
  tookMs: number,
): CallSummary => ({
  requestId: call.requestId,
  route: call.match.route.name,
  service: call.match.service.name,
  status: result.kind === 'answer' ? result.answer.status : httpStatusOf(result.refusal),
  memberIds,
  sentToServers,
  configVersion: call.configVersion,
  tookMs,
  refusal: result.kind === 'refusal' ? result.refusal : undefined,
});
