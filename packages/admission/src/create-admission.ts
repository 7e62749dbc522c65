import { SilentLogger, type Logger } from '@sequoiafield/logger';
import type { RandomSource, System } from '@sequoiafield/tables';
import type {
  Admission,
  RefusalReason,
  RolloutView,
  ShareTracker,
  SnapshotView,
} from '@sequoiafield/types';
import { AdaptiveSlotLimiter } from './adaptive-slot-limiter.js';
import type { AdmissionMechanisms } from './admission-mechanisms.js';
import type { OwnServer } from './own-server.js';
import { PriorityQueue } from './priority-queue.js';
import { RolloutVersionGuard } from './rollout-version-guard.js';
import { BucketedAttemptDeduplicator } from './attempt-deduplicator.js';
import { DecayingServiceTimeEstimator } from './service-time-estimator.js';
import { SlotAdmission } from './slot-admission.js';

/** Options of `createAdmission`. */
export interface AdmissionOptions {
  readonly selfId: string;
  readonly dataCentre: string;
  /** Start time of this process in Unix ms, as it is announced to the members. */
  readonly incarnation: number;
  readonly snapshot: SnapshotView;
  readonly rollout: RolloutView;
  /** The announced backend server, or undefined while there is none. */
  readonly ownServer: () => OwnServer | undefined;
  readonly random: RandomSource;
  /** Share of the calls sent to this node's version; without it only a move's start is enforced. */
  readonly shareTracker?: ShareTracker;
  readonly logger?: Logger;
  /** Replaces single mechanisms, for baselines and for tests that show what each one prevents. */
  readonly mechanisms?: Partial<AdmissionMechanisms>;
}

/** Admission and the systems that the tick loop must run for it. */
export interface AdmissionComponents {
  readonly admission: Admission;
  /** Refusals since the start of the process, by reason. */
  readonly refusals: ReadonlyMap<RefusalReason, number>;
  readonly systems: readonly System[];
}

/**
 * Creates the component that admits calls to one backend server. It never throws; `admit` settles at
 * the latest one tick after the deadline.
 *
 * @example
 * const { admission, systems } = createAdmission({
 *   selfId, dataCentre, incarnation, snapshot, rollout, ownServer, random,
 * });
 */
export const createAdmission = (options: AdmissionOptions): AdmissionComponents => {
  const { dataCentre, incarnation, snapshot, rollout, ownServer, random, shareTracker } = options;
  const admission = new SlotAdmission(
    { dataCentre, incarnation, snapshot, ownServer, random, shareTracker },
    {
      limiter: new AdaptiveSlotLimiter(options.selfId, options.logger ?? new SilentLogger()),
      estimator: new DecayingServiceTimeEstimator(),
      attemptDeduplicator: new BucketedAttemptDeduplicator(),
      queue: new PriorityQueue(),
      guard: new RolloutVersionGuard(rollout, snapshot, shareTracker),
      refusesWhenEvacuated: true,
      ...options.mechanisms,
    },
  );
  return { admission, refusals: admission.refusals, systems: [admission] };
};
