import assert from 'node:assert/strict';
import { test } from 'node:test';
import { logEvents } from '@sequoiafield/logger';
import { LateAnswerLog } from './late-answer-log.js';

test('late answers are logged at most once per interval with their count', () => {
  // Guards against a lagging receiver that fills the log, and against drops that are not logged.
  const lines: unknown[] = [];
  const log = new LateAnswerLog({ log: (event, fields) => lines.push([event.number, fields]) });
  const countDroppedAt = (nowMs: number, count: number): void => {
    for (let answer = 0; answer < count; answer += 1) log.countDropped('b');
    log.logIfDue(nowMs);
  };
  countDroppedAt(0, 0);
  countDroppedAt(100, 1);
  countDroppedAt(200, 5);
  countDroppedAt(10_050, 1);
  countDroppedAt(10_100, 1);
  countDroppedAt(20_200, 0);
  const { number } = logEvents.lateAnswerDropped;
  assert.deepEqual(lines, [
    [number, { dropped: 1, lastMemberId: 'b' }],
    [number, { dropped: 7, lastMemberId: 'b' }],
  ]);
});
