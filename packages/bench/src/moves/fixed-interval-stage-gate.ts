import { stageCount, type StageGateInput, type StageGate } from '@sequoiafield/rollout';

/** Proves each stage after an equal part of the time of the move, regardless of the evidence. */
export class FixedIntervalStageGate implements StageGate {
  isProven({ move, nowUnixMs }: StageGateInput): boolean {
    const { startAtUnixMs, finishByUnixMs } = move.intent;
    const stageMs = ((finishByUnixMs - startAtUnixMs) * 0.9) / stageCount;
    return nowUnixMs - startAtUnixMs >= stageMs * (move.provenStage + 1);
  }
}
