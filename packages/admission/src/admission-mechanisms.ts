import type { CallQueue } from './call-queue.js';
import type { AttemptDeduplicator } from './attempt-deduplicator.js';
import type { ServiceTimeEstimator } from './service-time-estimator.js';
import type { QueuedCall } from './slot-admission.js';
import type { SlotLimiter } from './slot-limiter.js';
import type { VersionGuard } from './version-guard.js';

/** Mechanisms of admission that a test or a baseline may replace. */
export interface AdmissionMechanisms {
  readonly limiter: SlotLimiter;
  readonly estimator: ServiceTimeEstimator;
  readonly attemptDeduplicator: AttemptDeduplicator;
  readonly queue: CallQueue<QueuedCall>;
  readonly guard: VersionGuard;
  /** Whether calls are refused while the own data centre is evacuated. */
  readonly refusesWhenEvacuated: boolean;
}
