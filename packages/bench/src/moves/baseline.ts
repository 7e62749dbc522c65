import type { RolloutParts } from '@sequoiafield/rollout';
import { FixedStepsGate } from './fixed-steps-gate.js';
import { FixedThresholdTest } from './fixed-threshold-test.js';

/** Fixed threshold and fixed steps, the simpler policy that `--baseline` compares with. */
export const baselineParts: Partial<RolloutParts> = {
  createTest: () => new FixedThresholdTest(),
  stageGate: new FixedStepsGate(),
};
