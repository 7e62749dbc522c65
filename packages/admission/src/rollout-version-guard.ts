import { wallNowUnixMs } from '@sequoiafield/tables';
import {
  MoveVerdict,
  RefusalReason,
  type MoveIntent,
  type MoveStatus,
  type ObservedShare,
  type RolloutView,
  type ShareTracker,
  type SnapshotView,
} from '@sequoiafield/types';
import {
  clockSkewMs,
  shareTolerancePercent,
  shareToleranceRatio,
  type VersionGuard,
} from './version-guard.js';

/** Part of the time from start to finish after which a plan reaches 100 %. */
const planEndShare = 0.9;

/**
 * Probability that chance alone makes callers within the limit look as if they were over it, for
 * one look at the counts. At one look a second this is one false refusal in 11 days of a move.
 */
const falseAlarmProbability = 1e-6;

/** Highest share that a caller whose clock is ahead by `clockSkewMs` may send. */
const computeAllowedPercent = (move: MoveIntent, status: MoveStatus): number => {
  const durationMs = Math.max(1, (move.finishByUnixMs - move.startAtUnixMs) * planEndShare);
  return status.sharePercent + (100 * clockSkewMs) / durationMs;
};

/**
 * Whether more calls were sent to the new version than chance explains at a share of `limit`, by
 * Chernoff's bound: the probability is at most exp(-calls * Kullback-Leibler divergence).
 */
const isSurelyOver = ({ offeredCalls, allCalls }: ObservedShare, limit: number): boolean => {
  const observed = Math.min(1, offeredCalls / Math.max(1, allCalls));
  if (observed <= limit || limit >= 1) return false;
  const rest = observed < 1 ? (1 - observed) * Math.log((1 - observed) / (1 - limit)) : 0;
  const divergence = observed * Math.log(observed / limit) + rest;
  return allCalls * divergence > -Math.log(falseAlarmProbability);
};

/**
 * Guard by the moves of the service: refuses a version that was taken back, a new version before
 * its move starts, and as many calls as bring the share back to the allowed one, once the counts show
 * that callers exceed it by more than tolerance and chance.
 *
 * @example
 * guard.reasonToRefuse('settlement', 'v2', random.next());
 */
export class RolloutVersionGuard implements VersionGuard {
  constructor(
    private readonly rollout: RolloutView,
    private readonly snapshot: SnapshotView,
    private readonly observation: ShareTracker | undefined,
  ) {}

  reasonToRefuse(service: string, backendVersion: string, roll: number): RefusalReason | undefined {
    if (!this.rollout.isAllowed(service, backendVersion)) return RefusalReason.VersionRolledBack;
    const section = this.snapshot.current()?.services.get(service);
    const move = section?.moves.find(({ toVersion }) => toVersion === backendVersion);
    if (!move || section?.service.stableVersion === backendVersion) return undefined;
    return this.#isOverShare(move, roll) ? RefusalReason.VersionOverShare : undefined;
  }

  #isOverShare(move: MoveIntent, roll: number): boolean {
    const status = this.rollout.statuses().find(({ moveId }) => moveId === move.id);
    if (!status || status.verdict !== MoveVerdict.Undecided) return false;
    if (wallNowUnixMs() + clockSkewMs < move.startAtUnixMs) return true;
    const observed = this.observation?.observedShare(move.service, move.toVersion);
    if (!observed) return false;
    const allowedPercent = computeAllowedPercent(move, status);
    const limitPercent = allowedPercent * shareToleranceRatio + shareTolerancePercent;
    if (!isSurelyOver(observed, limitPercent / 100)) return false;
    return roll >= ((allowedPercent / 100) * observed.allCalls) / observed.offeredCalls;
  }
}
