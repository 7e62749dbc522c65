import type { MoveIntent, MoveVerdict, RouteIntent, ServiceIntent } from '@sequoiafield/types';
import type { EvidenceTable } from './evidence-table.js';

/** Where a move is in its life. */
export enum MovePhase {
  /** The start lies ahead. */
  Waiting = 0,
  /** Traffic moves, or would if evidence allowed. */
  Active = 1,
  /** Done, and the new version is watched against the old version's history. */
  Watching = 2,
  /** Taken back, or done and no longer watched. */
  Ended = 3,
}

/** Row of the moves table. */
export interface MoveState {
  readonly intent: MoveIntent;
  /** Service and routes of the snapshot in force; replaced with each snapshot. */
  service: ServiceIntent;
  routes: readonly RouteIntent[];
  verdict: MoveVerdict;
  reason: string;
  /** When the verdict was given, by the clock of the node that gave it; 0 without one. */
  verdictAtUnixMs: number;
  /** Number of stages proven, 0 to 7. */
  provenStage: number;
  /** Share of the new version now, in percent. */
  sharePercent: number;
  phase: MovePhase;
  readonly evidence: EvidenceTable;
}

/** Body of a register of kind `Stage`. */
export interface StageBody {
  readonly stage: number;
}

/** Body of a register of kind `Verdict`, and of the record in the store. */
export interface VerdictBody {
  readonly moveId: string;
  readonly service: string;
  readonly verdict: MoveVerdict;
  readonly reason: string;
  readonly atUnixMs: number;
}
