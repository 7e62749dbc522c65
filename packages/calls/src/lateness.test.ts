import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pauseClock } from '@sequoiafield/test-kit';
import { CallLateness } from './call-lateness.js';
import { CallerDeadlines } from './caller-deadlines.js';

test('the time that a caller has waited follows from the longest deadline of its route', async () => {
  // Guards against a caller that comes back after a refusal and is taken for a new one, and against an
  // old deadline that makes each caller look as if it had waited.
  const clock = pauseClock();
  const deadlines = new CallerDeadlines();
  assert.equal(deadlines.waitedMs('r', 2000), 0);
  deadlines.record('r', 2500);
  assert.equal(deadlines.waitedMs('r', 2100), 400);
  assert.equal(deadlines.waitedMs('other', 2100), 0);
  await clock.advance(12_000);
  deadlines.record('r', 1000);
  assert.equal(deadlines.waitedMs('r', 900), 1600);
  await clock.advance(12_000);
  deadlines.record('r', 1000);
  assert.equal(deadlines.waitedMs('r', 900), 100);
  clock.resume();
});

test('a call may be late after two full members, which are then chosen again', () => {
  // Guards against calls that ask one full member after the other, and against ones without a member.
  const tried = new Set(['a', 'b', 'failed']);
  const lateness = new CallLateness(true, tried);
  lateness.recordFull('a');
  assert.equal(lateness.mayBeLate, false);
  lateness.recordFull('b');
  assert.equal(lateness.mayBeLate, true);
  assert.deepEqual([...tried], ['failed']);
  assert.equal(new CallLateness(false, tried).allow(), false);
});
