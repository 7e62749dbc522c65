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
const callsMinByStage = [2, 3, 12, 20, 30, 40, 10] as const;
/**
 * Calls that prove a stage at once; 300 without failure exclude a rate of 1 % at 95 % confidence.
 */
const callsTargetByStage = [100, 200, 300, 300, 300, 300, 100] as const;
/**
 * Fraction of the plan's time after which the minimum number of calls proves a stage. Until then a
 * busy service collects as much evidence as the time allows.
 */
const stageEndFractions = [0.12, 0.22, 0.4, 0.56, 0.72, 0.84, 1] as const;
/** Logarithm of the E-value (20) against the new version above which the stage is not proven. */
const logEvidenceMax = Math.log(20);
/** Shortest time at a stage, as a fraction of the move's duration, and its lower bound of 1 s. */
const dwellMinFraction = 0.02;
const dwellMinMs = 1000;

/** Input of a stage gate. */
export interface StageGateInput {
  readonly move: MoveState;
  readonly test: VersionTest;
  readonly filter: BlockFilter;
  readonly nowMs: number;
  readonly nowUnixMs: number;
  /** Monotonic time at which this node first observed the current stage. */
  readonly stageSinceMs: number;
}

/** Decides whether a stage is proven; replaced in tests and by the benchmark's baseline. */
export interface StageGate {
  isProven(input: StageGateInput): boolean;
}

const countStageCalls = ({ move, filter, test }: StageGateInput): number => {
  const faulty = test.faultyServers();
  let calls = 0;
  for (const row of move.evidence.rows()) {
    const isNewAtStage = row.side === VersionSide.New && row.stage === move.provenStage;
    const isEnded = row.source === EvidenceSource.Ended;
    const isCounted = filter.isDataCentreCounted(row.dataCentre) && !faulty.has(row.reporterId);
    if (isNewAtStage && isEnded && isCounted) calls += row.calls;
  }
  return calls;
};

const hasStageTimePassed = (intent: MoveIntent, stage: number, nowUnixMs: number): boolean => {
  const planMs = (intent.finishByUnixMs - intent.startAtUnixMs) * plannedFullAtFraction;
  return nowUnixMs - intent.startAtUnixMs >= planMs * (stageEndFractions[stage] ?? 1);
};

/**
 * Proves a stage by the calls at that stage: the target number of calls, or the minimum number once
 * the stage's time has passed. From the 5 % stage on, each failure beyond the old version's rate
 * requires the minimum number once more, and a stage is not proven while there is strong evidence
 * against the version.
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
    const dwellMs = Math.max(dwellMinMs, durationMs * dwellMinFraction);
    if (nowMs - stageSinceMs < dwellMs) return false;
    const calls = countStageCalls(input);
    const excessFailures = test.stageExcessFailures();
    const isMinimumEnough = hasStageTimePassed(intent, provenStage, nowUnixMs);
    const callsMin = callsMinByStage[provenStage] ?? 0;
    const callsTarget = callsTargetByStage[provenStage] ?? 0;
    // The 2 % and the 5 % stage stay within the cap for unproven versions, and they yield evidence
    // faster.
    if (provenStage < unprovenStageCount - 1 && isMinimumEnough && calls >= callsMin) return true;
    if (test.logEvidenceAgainst() > logEvidenceMax) return false;
    const limitRate = move.service.failureLimitPercent / 100;
    if (calls >= callsTarget && excessFailures <= 2 + (calls * limitRate) / 2) return true;
    return isMinimumEnough && calls >= callsMin * (1 + excessFailures);
  }
}
