import assert from 'node:assert/strict';
import { test } from 'node:test';
import { sampleOpen, SampleOrders } from '@sequoiafield/test-kit';
import { RefusalReason, type CallOpen } from '@sequoiafield/types';
import { RouteLatencyTargets } from '../route-latency-targets.js';
import { ServiceTimes } from '../service-times.js';
import { DueTimeScheduler } from './due-time-scheduler.js';

const targetMs = 400;
const serviceMs = 100;

/** Scheduler of a server with two slots, both in use, whose calls take 100 ms each. */
const createScheduler = (): DueTimeScheduler => {
  const serviceTimes = new ServiceTimes();
  for (let call = 0; call < 50; call++) serviceTimes.record('lookup', serviceMs, false);
  const server = { runningCalls: 2, slots: 2, serviceTimes, serviceTimeRecordedAtMs: 0 };
  return new DueTimeScheduler(
    server,
    new RouteLatencyTargets(new SampleOrders({ lookup: targetMs })),
  );
};

const arrive = (
  scheduler: DueTimeScheduler,
  changes: Partial<CallOpen> = {},
): RefusalReason | 'queued' => {
  const call = { open: sampleOpen({ route: 'lookup', ...changes }), deadlineAtMs: 2500 };
  const refused = scheduler.checkArrival(call, 0);
  if (refused) return refused.reason;
  scheduler.push(call, 0, () => undefined);
  return 'queued';
};

test('the time before the arrival shortens the wait that is allowed', () => {
  // Guards against a call that was refused elsewhere and waits again as long as its target allows.
  const scheduler = createScheduler();
  for (let call = 0; call < 3; call++) arrive(scheduler, { answerDueAtMs: 270 });
  assert.equal(arrive(scheduler, { answerDueAtMs: 280 }), RefusalReason.QueueFull);
  assert.equal(arrive(scheduler, { answerDueAtMs: targetMs }), 'queued');
});

test('a call that came back goes before new calls of its route', () => {
  // Guards against callers that are refused several times while new calls are served.
  const scheduler = createScheduler();
  arrive(scheduler, { answerDueAtMs: targetMs, requestId: 'new' });
  arrive(scheduler, { answerDueAtMs: 300, requestId: 'returned' });
  assert.equal(scheduler.shift()?.open.requestId, 'returned');
});

test('a call whose answer cannot be in time any more is treated like a new one', () => {
  // Guards against calls that starve once they are late.
  const scheduler = createScheduler();
  for (let call = 0; call < 3; call++) arrive(scheduler, { answerDueAtMs: targetMs });
  assert.equal(arrive(scheduler, { answerDueAtMs: 50 }), 'queued');
  assert.equal(arrive(scheduler, { answerDueAtMs: 280, mayBeLate: true }), 'queued');
});
