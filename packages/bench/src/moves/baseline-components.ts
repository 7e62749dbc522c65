import type { RolloutComponents } from '@sequoiafield/rollout';
import { FixedIntervalStageGate } from './fixed-interval-stage-gate.js';
import { FixedThresholdTest } from './fixed-threshold-test.js';

/** Simpler policy that `--baseline` compares with: a fixed threshold and stages of equal length. */
export const baselineComponents: Partial<RolloutComponents> = {
  createTest: () => new FixedThresholdTest(),
  stageGate: new FixedIntervalStageGate(),
};
