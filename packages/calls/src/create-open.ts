import type { CallOpen, ClientAccount, MemberRow, RouteMatch } from '@sequoiafield/types';
import type { CallProxyOptions } from './call-proxy-options.js';
import type { HeaderPair } from './call-protocol.js';
import type { RequestBody } from './request-body.js';

/** One inbound call, as read from its caller and matched to a route. */
export interface RoutedRequest {
  readonly requestId: string;
  readonly match: RouteMatch;
  /** Account whose key the request has. */
  readonly account?: ClientAccount | undefined;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly HeaderPair[];
  readonly body: RequestBody;
  readonly configVersion: number;
  readonly deadlineAtMs: number;
  /** When the answer is due by the latency target; undefined if calls are not scheduled by it. */
  readonly answerDueAtMs?: number | undefined;
}

/** How an attempt may wait at its member. */
export interface AttemptWaiting {
  readonly mayWait: boolean;
  readonly mayBeLate: boolean;
}

/** Creates the head of an attempt of a call at a member. */
export const createOpen = (
  call: RoutedRequest,
  options: CallProxyOptions,
  member: MemberRow,
  backendVersion: string,
  { mayWait, mayBeLate }: AttemptWaiting,
): CallOpen => {
  const { route, service } = call.match;
  const { answerDueAtMs } = call;
  return {
    requestId: call.requestId,
    attempt: {
      senderId: options.self.id,
      senderIncarnation: options.self.incarnation,
      sequence: options.sequence.next(),
      receiverIncarnation: member.incarnation,
    },
    service: service.name,
    callerService: options.callerService?.() ?? '',
    account: call.account?.name,
    route: route.name,
    backendVersion,
    configVersion: call.configVersion,
    priority: call.account?.rank ?? service.priority,
    isIdempotent: route.isIdempotent,
    deadlineAtMs: call.deadlineAtMs,
    method: call.method,
    path: call.path,
    headers: call.headers,
    mayWait,
    ...(answerDueAtMs !== undefined && { answerDueAtMs, mayBeLate }),
  };
};
