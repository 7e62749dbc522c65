import { stageCount, type GateInput, type StageGate } from '@sequoiafield/rollout';

/** Goes to the next stage after equal parts of the time, whatever the evidence. */
export class FixedStepsGate implements StageGate {
  isProven({ move, nowUnixMs }: GateInput): boolean {
    const { startAtUnixMs, finishByUnixMs } = move.intent;
    const stepMs = ((finishByUnixMs - startAtUnixMs) * 0.9) / stageCount;
    return nowUnixMs - startAtUnixMs >= stepMs * (move.provenStage + 1);
  }
}
