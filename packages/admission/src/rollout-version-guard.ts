import { wallNowUnixMs } from '@sequoiafield/tables';
import {
  MoveVerdict,
  RefusalReason,
  type MoveIntent,
  type MoveStatus,
  type RolloutView,
  type ShareObservation,
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

/** Highest share that a caller whose clock is ahead by `clockSkewMs` may send, with tolerance. */
const computeLimitPercent = (move: MoveIntent, status: MoveStatus): number => {
  const durationMs = Math.max(1, (move.finishByUnixMs - move.startAtUnixMs) * planEndShare);
  const skewPercent = (100 * clockSkewMs) / durationMs;
  return (status.sharePercent + skewPercent) * shareToleranceRatio + shareTolerancePercent;
};

/**
 * Guard by the moves of the service: refuses a version that was taken back, a new version before
 * its move starts, and as many calls as bring an observed share back under the allowed one.
 *
 * @example
 * guard.reasonToRefuse('settlement', 'v2', random.next());
 */
export class RolloutVersionGuard implements VersionGuard {
  constructor(
    private readonly rollout: RolloutView,
    private readonly snapshot: SnapshotView,
    private readonly observation: ShareObservation | undefined,
  ) {}

  reasonToRefuse(service: string, backendVersion: string, roll: number): RefusalReason | undefined {
    if (!this.rollout.isAllowed(service, backendVersion)) return RefusalReason.VersionTakenBack;
    const section = this.snapshot.current()?.services.get(service);
    const move = section?.moves.find(({ toVersion }) => toVersion === backendVersion);
    if (!move || section?.service.stableVersion === backendVersion) return undefined;
    return this.#isOverShare(move, roll) ? RefusalReason.VersionOverShare : undefined;
  }

  #isOverShare(move: MoveIntent, roll: number): boolean {
    const status = this.rollout.statuses().find(({ moveId }) => moveId === move.id);
    if (!status || status.verdict !== MoveVerdict.Undecided) return false;
    if (wallNowUnixMs() + clockSkewMs < move.startAtUnixMs) return true;
    const observed = this.observation?.observedSharePercent(move.service, move.toVersion);
    if (observed === undefined) return false;
    const limitPercent = computeLimitPercent(move, status);
    return observed > limitPercent && roll >= limitPercent / observed;
  }
}
