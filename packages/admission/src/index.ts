export * from './admission-mechanisms.js';
export * from './call-queue.js';
export * from './create-admission.js';
export type { OwnServer } from './own-server.js';
export { PriorityQueue } from './priority-queue.js';
export { RolloutVersionGuard } from './rollout-version-guard.js';
export type { AttemptDeduplicator } from './attempt-deduplicator.js';
export {
  DecayingServiceTimeEstimator,
  type ServiceTimeEstimator,
} from './service-time-estimator.js';
export type { QueuedCall } from './slot-admission.js';
export * from './slot-limiter.js';
export * from './version-guard.js';
