export type {
  BackendAnswer,
  BackendClient,
  BackendRequestOutcome,
  BackendResult,
} from './backend-client.js';
export { type FailureClassifier, WrittenFailureClassifier } from './failure-classifier.js';
export { CallProxy, createCallProxy } from './call-proxy.js';
export type { CallProxyOptions } from './call-proxy-options.js';
export {
  BackendCallReceiver,
  type CallReceiverOptions,
  type UsageRecorder,
} from './call-receiver.js';
export type { CallSummary } from './call-summary.js';
export { createBodyMemory, type BodyMemory } from './body-memory.js';
export { CallCounters } from './call-counters.js';
export {
  AnswerKind,
  backendRefusedHeader,
  backendRefusedNotRun,
  encodeHeaderText,
  findHeader,
  DefaultCallProtocol,
  type BackendAnswerHead,
  type CallProtocol,
  type HeaderPair,
  type RefusalHead,
} from './call-protocol.js';
export { httpStatusOf } from './refusals.js';
export { PortChecker, type CheckedEndpoint } from './port-checker.js';
export { ReachedServerRetryPolicy } from './reached-server-retry-policy.js';
export { SafeRetryPolicy, type RetryPolicy, type RetryContext } from './retry-policy.js';
export { type BackendClientOptions, UndiciBackendClient } from './undici-backend-client.js';
