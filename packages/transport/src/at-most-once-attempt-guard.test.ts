import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AttemptCheckResult } from './attempt-guard.js';
import { AtMostOnceAttemptGuard } from './at-most-once-attempt-guard.js';

test('an attempt starts at most once per sender incarnation, in any order of incarnations', () => {
  // Guards against calls that are refused because the clock of their sender is behind that of its
  // former incarnation, and against a late copy of a former attempt that runs a second time.
  const guard = new AtMostOnceAttemptGuard(1000);
  const attempt = (senderIncarnation: number) => ({
    ...{ senderId: 'a', senderIncarnation, sequence: 1, receiverIncarnation: 1000 },
  });
  const check = (senderIncarnation: number): AttemptCheckResult =>
    guard.check(attempt(senderIncarnation), 500, 0);
  assert.equal(check(900), AttemptCheckResult.Fresh);
  assert.equal(check(400), AttemptCheckResult.Fresh);
  assert.equal(check(900), AttemptCheckResult.Duplicate);
  assert.equal(check(400), AttemptCheckResult.Duplicate);
  const otherReceiver = { ...attempt(400), sequence: 2, receiverIncarnation: 999 };
  assert.equal(guard.check(otherReceiver, 500, 0), AttemptCheckResult.WrongIncarnation);
  guard.sweep(60_000);
  assert.equal(guard.idCount, 0);
});
