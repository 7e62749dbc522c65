import type { MoveIntent } from '@sequoiafield/types';
import { EvidenceSource, VersionSide } from './evidence-row.js';
import type { BlockFilter } from './evidence-blocks.js';
import type { MoveState } from './move-state.js';
import {
  plannedFullAtFraction,
  plannedPercent,
  stageCapPercent,
  stageCount,
  unprovenStageCount,
} from './shares.js';
import type { VersionTest } from './version-test.js';

/**
 * Fewest calls of the new version that prove a stage. At 3 calls/s the stages then take on average
 * 67, 50, 80, 67, 40, 27 and 3 s, 333 s together, so that a service with a few calls a second
 * completes in 10 min. A version failing 10 % of its calls passes the 5 % stage with a probability
 * of 0.9^12 = 28 % and the next two with 12 % and 4 %, unless the test rejects it first.
 */
const callsFloor = [2, 3, 12, 20, 30, 40, 10] as const;
/** Calls that prove a stage at once; 300 calls without failure exclude 1 % at 95 % confidence. */
const callsTarget = [100, 200, 300, 300, 300, 300, 100] as const;
/**
 * Part of the plan's time after which the floor is enough. Until then a busy service gathers as much
 * evidence as the time allows.
 */
const slotEnd = [0.12, 0.22, 0.4, 0.56, 0.72, 0.84, 1] as const;
/** Strength of evidence against the new version from which the stage is held: E-value 20. */
const logSuspicionMax = Math.log(20);
/** Shortest stay at a stage: this part of the time from start to finish, and 1 s. */
const dwellFraction = 0.02;
const dwellMinMs = 1000;

/** What the gate looks at. */
export interface StageGateInput {
  readonly move: MoveState;
  readonly test: VersionTest;
  readonly filter: BlockFilter;
  readonly nowMs: number;
  readonly nowUnixMs: number;
  /** When this node first saw the current stage. */
  readonly stageSinceMs: number;
}

/** Decides whether a stage is proven; replaced in tests and by the baseline. */
export interface StageGate {
  isProven(input: StageGateInput): boolean;
}

const countStage = ({ move, filter, test }: StageGateInput): number => {
  const faulty = test.faultyServers();
  let calls = 0;
  for (const row of move.evidence.rows()) {
    const isFresh = row.side === VersionSide.New && row.stage === move.provenStage;
    const isEnded = row.source === EvidenceSource.Ended;
    const isCounted = filter.isDataCentreCounted(row.dataCentre) && !faulty.has(row.reporterId);
    if (isFresh && isEnded && isCounted) calls += row.calls;
  }
  return calls;
};

const isSlotOver = (intent: MoveIntent, stage: number, nowUnixMs: number): boolean => {
  const planMs = (intent.finishByUnixMs - intent.startAtUnixMs) * plannedFullAtFraction;
  return nowUnixMs - intent.startAtUnixMs >= planMs * (slotEnd[stage] ?? 1);
};

/**
 * Proves a stage by fresh calls at that stage: the target number of calls, or the floor once the
 * stage's time is over. From the 5 % stage on, each failure beyond the old version's rate asks for
 * the floor once more, and strong evidence against the version holds the stage.
 *
 * @example
 * if (gate.isProven(input)) registers.publishStage(move.intent, move.provenStage + 1);
 */
export class EvidenceStageGate implements StageGate {
  isProven(input: StageGateInput): boolean {
    const { move, test, nowMs, nowUnixMs, stageSinceMs } = input;
    const { intent, provenStage } = move;
    if (provenStage >= stageCount) return false;
    if (plannedPercent(intent, nowUnixMs) < stageCapPercent(intent, provenStage)) return false;
    const durationMs = intent.finishByUnixMs - intent.startAtUnixMs;
    const dwellMs = Math.max(dwellMinMs, durationMs * dwellFraction);
    if (nowMs - stageSinceMs < dwellMs) return false;
    const calls = countStage(input);
    const excess = test.stageExcessFailures();
    const isFloorEnough = isSlotOver(intent, provenStage, nowUnixMs);
    const floor = callsFloor[provenStage] ?? 0;
    const target = callsTarget[provenStage] ?? 0;
    // The 2 and the 5 % stage stay within the cap for unproven versions, and evidence comes faster.
    if (provenStage < unprovenStageCount - 1 && isFloorEnough && calls >= floor) return true;
    if (test.logEvidenceAgainst() > logSuspicionMax) return false;
    const limitRate = move.service.failureLimitPercent / 100;
    if (calls >= target && excess <= 2 + (calls * limitRate) / 2) return true;
    return isFloorEnough && calls >= floor * (1 + excess);
  }
}
