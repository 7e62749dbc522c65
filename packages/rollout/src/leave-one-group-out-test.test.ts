import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createVersionCounts, type ReporterCounts } from './evidence-blocks.js';
import { SequentialRateTest } from './sequential-rate-test.js';
import { LeaveOneGroupOutTest } from './leave-one-group-out-test.js';

const logThreshold = Math.log(1000);
const logSlack = Math.log(50);

/** Ten old calls a second, and two on each new backend server, whose failures are given. */
const observeSeconds = (seconds: number, failures: readonly number[]): LeaveOneGroupOutTest => {
  const separated = new LeaveOneGroupOutTest(() => new SequentialRateTest(0.02, 0.005));
  for (let second = 0; second < seconds; second += 1) {
    const reporters = new Map<string, ReporterCounts>();
    failures.forEach((count, index) => {
      const counts = { ...createVersionCounts(), calls: 2, failures: count };
      reporters.set(`node-${index}`, { dataCentre: 'dc-1', counts });
    });
    const bad = failures.reduce((sum, count) => sum + count, 0);
    const next = { calls: 2 * failures.length, bad };
    const pairs = new Map([['dc-1', { old: { calls: 10, bad: 0 }, next }]]);
    separated.observe(pairs, reporters, (counts) => ({
      calls: counts.calls,
      bad: counts.failures,
    }));
  }
  return separated;
};

test('one faulty backend server is not taken for a bad version', () => {
  // Guards against a take-back whenever one of many new backend servers fails. The test of all calls
  // together is the mechanism switched off: it blames the version.
  const oneFaulty = observeSeconds(20, [2, 0, 0, 0, 0, 0]);
  assert.ok(oneFaulty.allCallsTest.twoSampleTest.logWealth >= logThreshold);
  assert.equal(oneFaulty.evaluate(logThreshold, logSlack).isWorse, false);
  assert.equal(
    observeSeconds(20, [1, 0, 1, 0, 0, 1]).evaluate(logThreshold, logSlack).isWorse,
    true,
  );
  assert.equal(observeSeconds(20, [2]).evaluate(logThreshold, logSlack).isWorse, true);
});

test('a faulty backend server is named and its failures do not hold the stage', () => {
  // Guards against a good version that stays undecided for one faulty backend server, and against a
  // version whose failures are put down to its servers. The excess of all calls is the mechanism
  // switched off.
  const namesOf = (failures: readonly number[]): string[] => [
    ...observeSeconds(20, failures).faultyServers(logThreshold),
  ];
  assert.deepEqual(namesOf([2, 0, 0]), ['node-0']);
  assert.deepEqual(namesOf([0, 0, 0, 0, 2, 0]), ['node-4']);
  const nobody = {
    'one of two': [2, 0],
    'two of three': [2, 2, 0],
    all: [1, 1, 1],
    none: [0, 0, 0],
  };
  Object.entries(nobody).forEach(([name, failures]) =>
    assert.deepEqual(namesOf(failures), [], name),
  );
  const one = observeSeconds(20, [2, 0, 0]);
  assert.equal(one.stageExcessBadCalls(logThreshold), 0);
  assert.ok(
    one.allCallsTest.stageExcessBadCalls > 10,
    `${one.allCallsTest.stageExcessBadCalls} failures in excess`,
  );
  assert.ok(observeSeconds(20, [2, 0]).stageExcessBadCalls(logThreshold) > 10);
});
