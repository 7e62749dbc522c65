import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { SilentLogger } from '@sequoiafield/logger';
import { monotonicNowMs } from '@sequoiafield/tables';
import { pauseClock, type PausedClock } from '@sequoiafield/test-kit';
import { AdaptiveSlotLimiter } from './adaptive-slot-limiter.js';
import type { RunningCall } from './slot-limiter.js';

const slots = 10;
const route = 'settle';
const serviceMs = 80;

let clock: PausedClock;
beforeEach(() => {
  clock = pauseClock();
});
afterEach(() => clock.resume());

const createWarmLimiter = async (): Promise<AdaptiveSlotLimiter> => {
  const limiter = new AdaptiveSlotLimiter('node', new SilentLogger());
  for (let atMs = 0; atMs < 8000; atMs += 100) {
    for (let call = 0; call < 10; call += 1) {
      limiter.recordEnded({ route, hasFailed: false, latencyMs: serviceMs });
    }
    limiter.step(slots, []);
    await clock.advance(100);
  }
  assert.equal(limiter.slotsNow(slots), slots, 'the limiter is not warm');
  return limiter;
};

const startCalls = (count: number): RunningCall[] =>
  Array.from({ length: count }, () => ({ route, startedAtMs: monotonicNowMs() }));

test('running calls that do not end mark the server as cold within a second', async () => {
  // Guards against a cold server that keeps all its slots until its first calls end, seconds later.
  const slotsAfterOneSecond = async (runningCount: number): Promise<number> => {
    const limiter = await createWarmLimiter();
    const running = startCalls(runningCount);
    for (let step = 0; step < 10; step += 1) {
      await clock.advance(100);
      limiter.step(slots, running);
    }
    return limiter.slotsNow(slots);
  };
  assert.equal(await slotsAfterOneSecond(8), 3);
  // Two overdue calls may just be slow calls on a warm server.
  assert.equal(await slotsAfterOneSecond(2), slots);
});

test('a pause of the process does not mark the server as cold', async () => {
  // Guards against a reduction of the slots because answers could not be read while the process was
  // paused.
  const limiter = await createWarmLimiter();
  const paused = startCalls(8);
  await clock.advance(1000);
  limiter.step(slots, paused);
  for (let step = 0; step < 10; step += 1) {
    await clock.advance(100);
    limiter.step(slots, startCalls(8));
  }
  assert.equal(limiter.slotsNow(slots), slots);
});
