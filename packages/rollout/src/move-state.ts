import type { MoveIntent, MoveVerdict, RouteIntent, ServiceIntent } from '@sequoiafield/types';
import type { EvidenceTable } from './evidence-table.js';

/** Phase of a move. */
export enum MovePhase {
  /** Not started, or waiting until its old version is the stable one and no other move is active. */
  Waiting = 0,
  /** The new version's share rises as far as plan and evidence allow. */
  Active = 1,
  /** Done; the new version is still tested against the old version's history. */
  Watching = 2,
  /** Rolled back, or done and no longer watched. */
  Ended = 3,
}

/** Row of the moves table. */
export interface MoveState {
  readonly intent: MoveIntent;
  /** Service and routes of the active snapshot; replaced with each snapshot. */
  service: ServiceIntent;
  routes: readonly RouteIntent[];
  verdict: MoveVerdict;
  reason: string;
  /** Time of the verdict by the clock of the node that published it; 0 without a verdict. */
  verdictAtUnixMs: number;
  /** Number of stages proven, 0 to 7. */
  provenStage: number;
  /** Current share of the new version, in percent. */
  sharePercent: number;
  phase: MovePhase;
  readonly evidence: EvidenceTable;
}

/** Body of a register of kind `Stage`. */
export interface StageBody {
  readonly stage: number;
}

/** Body of a register of kind `Verdict` and of the verdict's record in the store. */
export interface VerdictBody {
  readonly moveId: string;
  readonly service: string;
  readonly verdict: MoveVerdict;
  readonly reason: string;
  readonly atUnixMs: number;
}
