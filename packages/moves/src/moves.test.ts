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
  // Guards against a move that is late, and against judges that overwrite each other.
  const fleet = new MovesFixture(clock, 200, good);
  await fleet.runTraffic(orderDurationMs);
  assert.deepEqual(fleet.store.outcomes, [MoveOutcome.Running, MoveOutcome.Completed]);
  assert.equal(fleet.nodes.get('n0')!.view.chooseVersion('s', 0.99), 'v2');
  assert.equal(fleet.nodes.get('n0')!.view.isAllowed('s', 'v1'), false);
});

test('a good version with the errors that every version has is completed', async () => {
  // Guards against a rollback because of failures that the old version shows as well.
  const noisy: VersionBehaviour = ({ roll }) => ({ status: roll < 0.1 ? 500 : 200, latencyMs: 50 });
  const fleet = new MovesFixture(clock, 200, noisy, noisy);
  await fleet.runTraffic(orderDurationMs);
  assert.equal(fleet.outcome, MoveOutcome.Completed);
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
      // Guards against a bad version that gets more than a tenth and 50 calls, or any 5 s after it shows.
      const fleet = new MovesFixture(clock, callsPerS, behaviour);
      await fleet.runTraffic(orderDurationMs);
      assert.equal(fleet.outcome, MoveOutcome.RolledBack);
      const { candidate, old, candidateLate } = fleet.calls;
      assert.ok(candidate <= 0.1 * (candidate + old) + 50, `${candidate} of ${candidate + old}`);
      assert.equal(candidateLate, 0);
      assert.equal(fleet.nodes.get('n3')!.view.isAllowed('s', 'v2'), false);
    });
  });
});

test('a version that fails only under full load, in an overloaded service, is rolled back', async () => {
  // Guards against a share of what callers send that is a larger one of what reaches the service.
  const underFullLoad: VersionBehaviour = ({ roll, share }) => ({
    status: share === 1 && roll < 0.4 ? 500 : 200,
    latencyMs: 50,
  });
  const fleet = new MovesFixture(clock, 600, underFullLoad);
  fleet.oldRefusedShare = 0.3;
  await fleet.runTraffic(orderDurationMs);
  assert.equal(fleet.outcome, MoveOutcome.RolledBack);
  const { candidate, old } = fleet.calls;
  assert.ok(candidate <= 0.1 * (candidate + old) + 50, `${candidate} of ${candidate + old}`);
});

test('a version that fails some calls under full load is rolled back within the first of them', async () => {
  // Guards against a verdict that waits until the good calls of earlier stages no longer count: calls
  // before the store was stable are not part of the tenth that a bad version may get.
  const underFullLoad: VersionBehaviour = ({ roll, share }) => ({
    status: share === 1 && roll < 0.2 ? 500 : 200,
    latencyMs: 50,
  });
  const fleet = new MovesFixture(clock, 150, underFullLoad);
  await fleet.runTraffic(orderDurationMs / 3);
  Object.assign(fleet.calls, { old: 0, candidate: 0 });
  await fleet.runTraffic((2 * orderDurationMs) / 3);
  assert.equal(fleet.outcome, MoveOutcome.RolledBack);
  const { candidate, old } = fleet.calls;
  assert.ok(candidate <= 0.1 * (candidate + old) + 50, `${candidate} of ${candidate + old}`);
});

test('a bad version gets nothing although the store is down', async () => {
  // Guards against a verdict that waits for the store.
  const fleet = new MovesFixture(clock, 200, badVersions.errors!);
  fleet.store.isDown = true;
  await fleet.runTraffic(orderDurationMs / 2);
  assert.equal(fleet.nodes.get('n0')!.view.isAllowed('s', 'v2'), false);
  fleet.store.isDown = false;
  await fleet.runTraffic(2000);
  assert.equal(fleet.outcome, MoveOutcome.RolledBack);
});

test('a version that appears without an order gets nothing', () => {
  // Guards against servers that start a moment before their order arrives.
  const fleet = new MovesFixture(clock, 0, good);
  fleet.orders.change({ moves: new Map() });
  const { view } = fleet.nodes.get('n0')!;
  assert.equal(view.chooseVersion('s', 0), 'v1');
  assert.equal(view.isAllowed('s', 'v2'), false);
});

test('an outcome of an earlier order of the same version does not decide a new one', () => {
  // Guards against a second order of a version that was rolled back once.
  const fleet = new MovesFixture(clock, 0, good);
  const record = { service: 's', toVersion: 'v2', outcome: MoveOutcome.RolledBack, revision: 5 };
  fleet.orders.change({ moveRecords: new Map([['s', record]]) });
  assert.equal(fleet.nodes.get('n0')!.view.isAllowed('s', 'v2'), true);
});
