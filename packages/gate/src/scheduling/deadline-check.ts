import { RefusalReason, type CallOpen, type CallRefusal } from '@sequoiafield/types';
import { createRefusal } from '../create-refusal.js';
import type { ServerObservation } from './call-scheduler.js';

/** A call needs more remaining time than this share of the mean service time of its route. */
const neededServiceTimeShare = 0.6;
/** Service times that are older than this do not cause the refusal of a call to an idle server. */
const serviceTimesMaxAgeMs = 1000;
/** Shortest retry hint; a caller's round trip takes longer than a shorter one. */
const retryAfterMinMs = 20;

/** Refuses calls whose remaining time is too short. */
export class DeadlineCheck {
  constructor(private readonly server: ServerObservation) {}

  /**
   * Refuses a call whose remaining time is too short. While other calls are queued, a call needs the
   * time that most calls of its route take, since its slot could serve a call that ends in time.
   */
  check(
    open: CallOpen,
    remainingMs: number,
    nowMs: number,
    areOthersQueued: boolean,
    retryAfterMs: number,
  ): CallRefusal | undefined {
    const { serviceTimes, serviceTimeRecordedAtMs, runningCalls } = this.server;
    // Only a new answer can show that a slow server has recovered.
    const areServiceTimesOld = nowMs - serviceTimeRecordedAtMs > serviceTimesMaxAgeMs;
    if (runningCalls === 0 && areServiceTimesOld && remainingMs > 0) return undefined;
    const neededMs = areOthersQueued
      ? serviceTimes.routeP90Ms(open.route)
      : neededServiceTimeShare * serviceTimes.routeMeanMs(open.route);
    if (remainingMs > neededMs) return undefined;
    const detail = `${Math.round(remainingMs)} ms are left after the wait, ${Math.round(neededMs)} ms needed`;
    return createRefusal(RefusalReason.DeadlineUnreachable, detail, retryAfterMs);
  }

  /** Expected time until a number of queued calls have started. */
  retryAfterMs(queuedCount: number): number {
    const { slots, serviceTimes } = this.server;
    return Math.max(retryAfterMinMs, ((queuedCount + 1) * serviceTimes.meanMs) / slots);
  }
}
