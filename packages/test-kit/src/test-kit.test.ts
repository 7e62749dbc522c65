import assert from 'node:assert/strict';
import { test } from 'node:test';
import { monotonicNowMs } from '@sequoiafield/tables';
import { matchSnapshot, pauseClock } from './index.js';

test('the paused clock advances timers and the monotonic clock together', async () => {
  // Guards against durations that are read from a clock the tests cannot advance.
  const clock = pauseClock();
  const firedAtMs: number[] = [];
  setInterval(() => firedAtMs.push(monotonicNowMs()), 100);
  await clock.advance(300);
  clock.resume();
  matchSnapshot(import.meta.filename, 'interval of 100 ms', firedAtMs);
});

test('a value that differs from its snapshot fails', () => {
  // Guards against a snapshot helper that accepts every value.
  if (process.env.UPDATE_SNAPSHOTS) return;
  assert.throws(() => matchSnapshot(import.meta.filename, 'interval of 100 ms', [1]));
});
