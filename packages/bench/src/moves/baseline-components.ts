import type { RolloutComponents } from '@sequoiafield/rollout';
import { FixedIntervalStageGate } from './fixed-interval-stage-gate.js';
import { FixedThresholdTest } from './fixed-threshold-test.js';

/** Fixed threshold and fixed steps, the simpler policy that `--baseline` compares with. */
export const baselineComponents: Partial<RolloutComponents> = {
  createTest: () => new FixedThresholdTest(),
  stageGate: new FixedIntervalStageGate(),
};
