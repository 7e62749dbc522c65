import type { MoveStatus, RolloutView } from '@sequoiafield/types';
import type { MoveTable } from './move-table.js';
import { MovePhase, type MoveState } from './move-state.js';
import { stagePercents } from './shares.js';

const describe = (move: MoveState, nowUnixMs: number): string => {
  if (move.reason) return move.reason;
  if (move.phase === MovePhase.Waiting) return 'not started';
  const percent = stagePercents[move.provenStage] ?? 100;
  const isLate = nowUnixMs > move.intent.finishByUnixMs;
  return `${isLate ? 'late, ' : ''}waiting for evidence at ${percent} %`;
};

/** What callers and receiving nodes read of the moves. */
export class MoveTableView implements RolloutView {
  constructor(
    private readonly book: MoveTable,
    private readonly nowUnixMs: () => number,
  ) {}

  chooseVersion(service: string, roll: number): string | undefined {
    const split = this.book.versionSplit(service);
    if (!split) return undefined;
    return roll * 100 < split.sharePercent ? split.toVersion : split.fromVersion;
  }

  /**
   * A version that is neither stable nor part of an active or done move is not allowed. Of a service
   * that the snapshot lacks nothing is known, so that all its versions are allowed.
   */
  isAllowed(service: string, backendVersion: string): boolean {
    const split = this.book.versionSplit(service);
    return !split || split.allowedVersions.has(backendVersion);
  }

  statuses(): readonly MoveStatus[] {
    return [...this.book.moves.rows()].map((move) => ({
      moveId: move.intent.id,
      verdict: move.verdict,
      reason: describe(move, this.nowUnixMs()),
      sharePercent: move.sharePercent,
      provenStage: move.provenStage,
    }));
  }
}
