export type { BackendAnswer, BackendClient, BackendEnd, BackendResult } from './backend-client.js';
export { type FailureClassifier, WrittenClassifier } from './failure-classifier.js';
export { CallPath, createCallPath } from './call-path.js';
export type { CallPathOptions } from './call-path-options.js';
export { BackendCallReceiver, type CallReceiverOptions } from './call-receiver.js';
export { CallCounters } from './counters.js';
export { backendRefusedHeader, backendRefusedNotRun } from './headers.js';
export { SafeRetryPolicy, type RetryPolicy, type RetryQuestion } from './retry-policy.js';
export { type BackendClientOptions, UndiciBackendClient } from './undici-backend-client.js';
