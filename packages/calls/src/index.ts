export type { BackendAnswer, BackendClient, BackendEnd, BackendResult } from './backend-client.js';
export { type FailureClassifier, WrittenClassifier } from './failure-classifier.js';
export { CallPath, createCallPath } from './call-path.js';
export type { CallPathOptions } from './call-path-options.js';
export { BackendCallReceiver, type CallReceiverOptions } from './call-receiver.js';
export type { CallEnd } from './call-end.js';
export { CallCounters } from './counters.js';
export {
  AnswerMeaning,
  backendRefusedHeader,
  backendRefusedNotRun,
  findHeader,
  OwnCallProtocol,
  type AnswerHead,
  type CallProtocol,
  type HeaderPair,
  type RefusalHead,
} from './call-protocol.js';
export { statusOf } from './refusals.js';
export { ReachedServerRetryPolicy } from './reached-server-retry-policy.js';
export { SafeRetryPolicy, type RetryPolicy, type RetryQuestion } from './retry-policy.js';
export { type BackendClientOptions, UndiciBackendClient } from './undici-backend-client.js';
