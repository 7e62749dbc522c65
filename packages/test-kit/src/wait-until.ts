import assert from 'node:assert/strict';
import { setTimeout } from 'node:timers/promises';

const waitMaxMs = 15_000;
const pollMs = 2;

/** Waits for a condition, so that a test does not depend on the speed of the machine. */
export const waitUntil = async (condition: () => boolean | Promise<boolean>): Promise<void> => {
  const untilMs = performance.now() + waitMaxMs;
  while (!(await condition())) {
    assert.ok(performance.now() < untilMs, `not reached within ${waitMaxMs} ms: ${condition}`);
    await setTimeout(pollMs);
  }
};
