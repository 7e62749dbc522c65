import type { CallQueue } from './call-queue.js';
import type { SeenAttempts } from './seen-attempts.js';
import type { ServiceTimeEstimate } from './service-time-estimate.js';
import type { QueuedCall } from './slot-admission.js';
import type { SlotLimiter } from './slot-limiter.js';
import type { VersionGuard } from './version-guard.js';

/** Parts of admission that a test or a baseline may replace. */
export interface AdmissionMechanisms {
  readonly limiter: SlotLimiter;
  readonly estimate: ServiceTimeEstimate;
  readonly seen: SeenAttempts;
  readonly queue: CallQueue<QueuedCall>;
  readonly guard: VersionGuard;
  /** Whether calls are refused while the own data centre is out. */
  readonly refusesWhenOut: boolean;
}
