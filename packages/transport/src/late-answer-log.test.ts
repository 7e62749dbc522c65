import assert from 'node:assert/strict';
import { test } from 'node:test';
import { logEvents } from '@sequoiafield/logger';
import { LateAnswerLog } from './late-answer-log.js';

test('late answers are logged once per interval with their number', () => {
  // Guards against a receiver that lags and fills the log, and against drops that no line tells.
  const lines: unknown[] = [];
  const log = new LateAnswerLog({ log: (event, fields) => lines.push([event.number, fields]) });
  const noteAt = (nowMs: number, count: number): void => {
    for (let answer = 0; answer < count; answer += 1) log.countDropped('b');
    log.run(nowMs);
  };
  noteAt(0, 0);
  noteAt(100, 1);
  noteAt(200, 5);
  noteAt(10_050, 1);
  noteAt(10_100, 1);
  noteAt(20_200, 0);
  const { number } = logEvents.lateAnswerDropped;
  assert.deepEqual(lines, [
    [number, { dropped: 1, lastMemberId: 'b' }],
    [number, { dropped: 7, lastMemberId: 'b' }],
  ]);
});
