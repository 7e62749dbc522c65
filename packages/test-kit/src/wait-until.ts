import assert from 'node:assert/strict';
import { setTimeout } from 'node:timers/promises';

const waitMaxMs = 15_000;
const pollIntervalMs = 2;

/** Polls until a condition holds, so that a test does not depend on the speed of the machine. */
export const waitUntil = async (condition: () => boolean | Promise<boolean>): Promise<void> => {
  const deadlineAtMs = performance.now() + waitMaxMs;
  while (!(await condition())) {
    assert.ok(
      performance.now() < deadlineAtMs,
      `condition not met within ${waitMaxMs} ms: ${condition}`,
    );
    await setTimeout(pollIntervalMs);
  }
};
