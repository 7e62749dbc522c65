import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { setMonotonicClock } from '@sequoiafield/tables';
import { CallScope } from './call-scope.js';

test('a timer that fires early does not abort a call before its deadline', async (t) => {
  // Guards against a timeout that is not counted because it is taken for a disconnected caller.
  let nowMs = 0;
  setMonotonicClock({ nowMs: () => nowMs });
  t.after(() => setMonotonicClock());
  const scope = new CallScope();
  scope.startDeadline(5);
  await delay(20);
  assert.equal(scope.signal.aborted, false);
  const aborted = new Promise((resolve) => {
    scope.signal.addEventListener('abort', resolve);
  });
  nowMs = 5;
  await aborted;
});
