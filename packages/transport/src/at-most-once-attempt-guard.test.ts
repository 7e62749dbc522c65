import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AttemptCheckResult } from './attempt-guard.js';
import { AtMostOnceAttemptGuard } from './at-most-once-attempt-guard.js';

test('attempts of each life of a sender start at most once, in whatever order the lives come', () => {
  // Guards against a process that is refused since its clock is behind that of its former life, and
  // against a late copy of an attempt of the former life that would run a second time.
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
  const other = { ...attempt(400), sequence: 2, receiverIncarnation: 999 };
  assert.equal(guard.check(other, 500, 0), AttemptCheckResult.WrongIncarnation);
  guard.sweep(60_000);
  assert.equal(guard.size, 0);
});
