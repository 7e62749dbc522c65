import { stageCount, type StageGateInput, type StageGate } from '@sequoiafield/rollout';

/** Goes to the next stage after equal parts of the time, whatever the evidence. */
export class FixedIntervalStageGate implements StageGate {
  isProven({ move, nowUnixMs }: StageGateInput): boolean {
    const { startAtUnixMs, finishByUnixMs } = move.intent;
    const stepMs = ((finishByUnixMs - startAtUnixMs) * 0.9) / stageCount;
    return nowUnixMs - startAtUnixMs >= stepMs * (move.provenStage + 1);
  }
}
