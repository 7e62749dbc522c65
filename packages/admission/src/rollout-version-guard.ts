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
  clockSkewToleranceMs,
  shareTolerancePercent,
  shareToleranceRatio,
  type VersionGuard,
} from './version-guard.js';

/** Share of the time from start to finish of a move after which its plan reaches 100 %. */
const planEndShare = 0.9;

/**
 * Probability, per check of the counts, that callers within the limit appear to exceed it by chance.
 * With one check a second this is one false refusal in 11 days of a move.
 */
const falseAlarmProbability = 1e-6;

/** Highest share in percent that a caller may send if its clock is ahead by `clockSkewToleranceMs`. */
const computeAllowedPercent = (move: MoveIntent, status: MoveStatus): number => {
  const durationMs = Math.max(1, (move.finishByUnixMs - move.startAtUnixMs) * planEndShare);
  return status.sharePercent + (100 * clockSkewToleranceMs) / durationMs;
};

/**
 * Whether the new version received more calls than chance explains at a share of `limit`, by the
 * Chernoff bound: the probability is at most exp(-calls * Kullback-Leibler divergence).
 */
const isSignificantlyOver = ({ offeredCalls, allCalls }: ObservedShare, limit: number): boolean => {
  const observed = Math.min(1, offeredCalls / Math.max(1, allCalls));
  if (observed <= limit || limit >= 1) return false;
  const otherVersionsTerm =
    observed < 1 ? (1 - observed) * Math.log((1 - observed) / (1 - limit)) : 0;
  const divergence = observed * Math.log(observed / limit) + otherVersionsTerm;
  return allCalls * divergence > -Math.log(falseAlarmProbability);
};

/**
 * Enforces the moves of the service. It refuses a version that was rolled back and a new version
 * before its move starts. When the counts show that callers exceed the allowed share by more than
 * tolerance and chance, it refuses as many calls as bring the share back to the allowed one.
 *
 * @example
 * guard.reasonToRefuse('settlement', 'v2', random.next());
 */
export class RolloutVersionGuard implements VersionGuard {
  constructor(
    private readonly rollout: RolloutView,
    private readonly snapshot: SnapshotView,
    private readonly shareTracker: ShareTracker | undefined,
  ) {}

  reasonToRefuse(
    service: string,
    backendVersion: string,
    uniformSample: number,
  ): RefusalReason | undefined {
    if (!this.rollout.isAllowed(service, backendVersion)) return RefusalReason.VersionRolledBack;
    const section = this.snapshot.current()?.services.get(service);
    const move = section?.moves.find(({ toVersion }) => toVersion === backendVersion);
    if (!move || section?.service.stableVersion === backendVersion) return undefined;
    return this.#isOverShare(move, uniformSample) ? RefusalReason.VersionOverShare : undefined;
  }

  #isOverShare(move: MoveIntent, uniformSample: number): boolean {
    const status = this.rollout.statuses().find(({ moveId }) => moveId === move.id);
    if (!status || status.verdict !== MoveVerdict.Undecided) return false;
    if (wallNowUnixMs() + clockSkewToleranceMs < move.startAtUnixMs) return true;
    const observed = this.shareTracker?.observedShare(move.service, move.toVersion);
    if (!observed) return false;
    const allowedPercent = computeAllowedPercent(move, status);
    const limitPercent = allowedPercent * shareToleranceRatio + shareTolerancePercent;
    if (!isSignificantlyOver(observed, limitPercent / 100)) return false;
    return uniformSample >= ((allowedPercent / 100) * observed.allCalls) / observed.offeredCalls;
  }
}
