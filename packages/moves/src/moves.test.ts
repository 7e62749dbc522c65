import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { pauseClock, type PausedClock } from '@sequoiafield/test-kit';
import { MoveOutcome } from '@sequoiafield/types';
import {
  orderDurationMs,
  MovesFixture,
  type VersionBehaviour,
} from './test-support/moves-fixture.js';

let clock: PausedClock;

beforeEach(() => {
  clock = pauseClock();
});

afterEach(() => clock.resume());

const good: VersionBehaviour = ({ roll }) => ({ status: 200, latencyMs: 25 + 70 * roll });

test('a good version is completed in time, and each outcome is written once', async () => {
  // Guards against a move that exceeds its duration, and against judges that overwrite each other's
  // outcome.
  const fixture = new MovesFixture(clock, 200, good);
  await fixture.runTraffic(orderDurationMs);
  assert.deepEqual(fixture.store.outcomes, [MoveOutcome.Running, MoveOutcome.Completed]);
  assert.equal(fixture.nodes.get('n0')!.view.chooseVersion('s', 0.99), 'v2');
  assert.equal(fixture.nodes.get('n0')!.view.isAllowed('s', 'v1'), false);
});

test('a version with the same failure rate as the old one is completed', async () => {
  // Guards against a rollback because of failures that the old version has as well.
  const failsOneInTen: VersionBehaviour = ({ roll }) => ({
    status: roll < 0.1 ? 500 : 200,
    latencyMs: 50,
  });
  const fixture = new MovesFixture(clock, 200, failsOneInTen, failsOneInTen);
  await fixture.runTraffic(orderDurationMs);
  assert.equal(fixture.outcome, MoveOutcome.Completed);
});

const badVersions: Readonly<Record<string, VersionBehaviour>> = {
  errors: ({ roll }) => ({ status: roll < 0.31 ? 500 : 200, latencyMs: 50 }),
  slow: ({ roll }) => ({ status: 200, latencyMs: roll < 0.43 ? 480 : 60 }),
  'under load': ({ roll, share }) => ({
    status: share >= 0.3 && roll < 0.5 ? 500 : 200,
    latencyMs: 50,
  }),
  'on one route': ({ roll, route }) => ({
    status: route === 'add' && roll < 0.4 ? 500 : 200,
    latencyMs: 50,
  }),
  late: ({ roll, elapsedMs }) => ({
    status: elapsedMs > 3000 && roll < 0.4 ? 500 : 200,
    latencyMs: 50,
  }),
};

Object.entries(badVersions).forEach(([name, behaviour]) => {
  [100, 300].forEach((callsPerS) => {
    test(`a version that is bad (${name}) at ${callsPerS} calls/s is rolled back`, async () => {
      // Guards against a bad version that gets more than a tenth of the calls plus 50, or any call
      // later than 5 s after its 50th bad one.
      const fixture = new MovesFixture(clock, callsPerS, behaviour);
      await fixture.runTraffic(orderDurationMs);
      assert.equal(fixture.outcome, MoveOutcome.RolledBack);
      const { candidate, old, candidateLate } = fixture.calls;
      assert.ok(candidate <= 0.1 * (candidate + old) + 50, `${candidate} of ${candidate + old}`);
      assert.equal(candidateLate, 0);
      assert.equal(fixture.nodes.get('n3')!.view.isAllowed('s', 'v2'), false);
    });
  });
});

test('a version that fails only under full load, in an overloaded service, is rolled back', async () => {
  // Guards against a version that exceeds its share because overloaded old servers refuse calls: a
  // share of the calls sent is then a larger share of the calls that reach the service.
  const underFullLoad: VersionBehaviour = ({ roll, share }) => ({
    status: share === 1 && roll < 0.4 ? 500 : 200,
    latencyMs: 50,
  });
  const fixture = new MovesFixture(clock, 600, underFullLoad);
  fixture.oldRefusedShare = 0.3;
  await fixture.runTraffic(orderDurationMs);
  assert.equal(fixture.outcome, MoveOutcome.RolledBack);
  const { candidate, old } = fixture.calls;
  assert.ok(candidate <= 0.1 * (candidate + old) + 50, `${candidate} of ${candidate + old}`);
});

test('a version that fails a fifth of its calls under full load is rolled back in time', async () => {
  // Guards against a rollback that is delayed by the good calls of earlier stages: calls before the
  // store was stable are not part of the tenth that a bad version may get.
  const underFullLoad: VersionBehaviour = ({ roll, share }) => ({
    status: share === 1 && roll < 0.2 ? 500 : 200,
    latencyMs: 50,
  });
  const fixture = new MovesFixture(clock, 150, underFullLoad);
  await fixture.runTraffic(orderDurationMs / 3);
  Object.assign(fixture.calls, { old: 0, candidate: 0 });
  await fixture.runTraffic((2 * orderDurationMs) / 3);
  assert.equal(fixture.outcome, MoveOutcome.RolledBack);
  const { candidate, old } = fixture.calls;
  assert.ok(candidate <= 0.1 * (candidate + old) + 50, `${candidate} of ${candidate + old}`);
});

test('a bad version gets no calls although the store is down', async () => {
  // Guards against a rollback that takes effect only after the store has written it.
  const fixture = new MovesFixture(clock, 200, badVersions.errors!);
  fixture.store.isDown = true;
  await fixture.runTraffic(orderDurationMs / 2);
  assert.equal(fixture.nodes.get('n0')!.view.isAllowed('s', 'v2'), false);
  fixture.store.isDown = false;
  await fixture.runTraffic(2000);
  assert.equal(fixture.outcome, MoveOutcome.RolledBack);
});

test('a version that appears without an order gets no calls', () => {
  // Guards against calls to servers that start a moment before their order is received.
  const fixture = new MovesFixture(clock, 0, good);
  fixture.orders.change({ moves: new Map() });
  const { view } = fixture.nodes.get('n0')!;
  assert.equal(view.chooseVersion('s', 0), 'v1');
  assert.equal(view.isAllowed('s', 'v2'), false);
});

test('an outcome of an earlier order of the same version does not decide a new one', () => {
  // Guards against a second order of a version that is rejected because the first was rolled back.
  const fixture = new MovesFixture(clock, 0, good);
  const record = { service: 's', toVersion: 'v2', outcome: MoveOutcome.RolledBack, revision: 5 };
  fixture.orders.change({ moveRecords: new Map([['s', record]]) });
  assert.equal(fixture.nodes.get('n0')!.view.isAllowed('s', 'v2'), true);
});
