import type { MoveStatus, RolloutView } from '@sequoiafield/types';
import type { MoveTable } from './move-table.js';
import { MovePhase, type MoveState } from './move-state.js';
import { stagePercents } from './shares.js';

const describeProgress = (move: MoveState, nowUnixMs: number): string => {
  if (move.reason) return move.reason;
  if (move.phase === MovePhase.Waiting) return 'not started';
  const percent = stagePercents[move.provenStage] ?? 100;
  const isLate = nowUnixMs > move.intent.finishByUnixMs;
  return `${isLate ? 'late, ' : ''}waiting for evidence at ${percent} %`;
};

/** View of the moves table for calling and receiving nodes. */
export class MoveTableView implements RolloutView {
  constructor(
    private readonly moveTable: MoveTable,
    private readonly nowUnixMs: () => number,
  ) {}

  chooseVersion(service: string, roll: number): string | undefined {
    const split = this.moveTable.versionSplit(service);
    if (!split) return undefined;
    return roll * 100 < split.sharePercent ? split.toVersion : split.fromVersion;
  }

  /**
   * Returns whether a version may get new calls: the stable version and the versions of active and
   * done moves may. All versions of a service that is not in the snapshot are allowed, since nothing
   * is known of that service.
   */
  isAllowed(service: string, backendVersion: string): boolean {
    const split = this.moveTable.versionSplit(service);
    return !split || split.allowedVersions.has(backendVersion);
  }

  statuses(): readonly MoveStatus[] {
    return [...this.moveTable.moves.rows()].map((move) => ({
      moveId: move.intent.id,
      verdict: move.verdict,
      reason: describeProgress(move, this.nowUnixMs()),
      sharePercent: move.sharePercent,
      provenStage: move.provenStage,
    }));
  }
}
