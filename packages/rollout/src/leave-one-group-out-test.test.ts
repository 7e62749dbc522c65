import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createVersionCounts, type ReporterCounts } from './evidence-blocks.js';
import { SequentialRateTest } from './sequential-rate-test.js';
import { LeaveOneGroupOutTest } from './leave-one-group-out-test.js';

const logThreshold = Math.log(1000);
const logSlack = Math.log(50);

/** Observes ten old calls a second and two on each new backend server, with the given failures. */
const observeSeconds = (seconds: number, failures: readonly number[]): LeaveOneGroupOutTest => {
  const rateTest = new LeaveOneGroupOutTest(() => new SequentialRateTest(0.02, 0.005));
  for (let second = 0; second < seconds; second += 1) {
    const reporters = new Map<string, ReporterCounts>();
    failures.forEach((count, index) => {
      const counts = { ...createVersionCounts(), calls: 2, failures: count };
      reporters.set(`node-${index}`, { dataCentre: 'dc-1', counts });
    });
    const bad = failures.reduce((sum, count) => sum + count, 0);
    const next = { calls: 2 * failures.length, bad };
    const pairs = new Map([['dc-1', { old: { calls: 10, bad: 0 }, next }]]);
    rateTest.observe(pairs, reporters, (counts) => ({
      calls: counts.calls,
      bad: counts.failures,
    }));
  }
  return rateTest;
};

test('one faulty backend server does not count as a bad version', () => {
  // Guards against a rollback whenever one of many new backend servers fails. The test of all calls,
  // which does not separate the servers, rejects the version.
  const oneFaulty = observeSeconds(20, [2, 0, 0, 0, 0, 0]);
  assert.ok(oneFaulty.allCallsTest.twoSampleTest.logWealth >= logThreshold);
  assert.equal(oneFaulty.evaluate(logThreshold, logSlack).isWorse, false);
  assert.equal(
    observeSeconds(20, [1, 0, 1, 0, 0, 1]).evaluate(logThreshold, logSlack).isWorse,
    true,
  );
  assert.equal(observeSeconds(20, [2]).evaluate(logThreshold, logSlack).isWorse, true);
});

test('a faulty backend server is named and its failures do not count as excess', () => {
  // Guards against a good version that stays undecided because of one faulty backend server, and
  // against a bad version whose failures are attributed to its servers. The excess of all calls,
  // which does not separate the servers, includes the failures.
  const faultyServerIds = (failures: readonly number[]): string[] => [
    ...observeSeconds(20, failures).faultyServers(logThreshold),
  ];
  assert.deepEqual(faultyServerIds([2, 0, 0]), ['node-0']);
  assert.deepEqual(faultyServerIds([0, 0, 0, 0, 2, 0]), ['node-4']);
  const failuresWithoutFaultyServer = {
    'one of two': [2, 0],
    'two of three': [2, 2, 0],
    all: [1, 1, 1],
    none: [0, 0, 0],
  };
  Object.entries(failuresWithoutFaultyServer).forEach(([name, failures]) =>
    assert.deepEqual(faultyServerIds(failures), [], name),
  );
  const oneFaultyOfThree = observeSeconds(20, [2, 0, 0]);
  assert.equal(oneFaultyOfThree.stageExcessBadCalls(logThreshold), 0);
  assert.ok(
    oneFaultyOfThree.allCallsTest.stageExcessBadCalls > 10,
    `${oneFaultyOfThree.allCallsTest.stageExcessBadCalls} failures in excess`,
  );
  assert.ok(observeSeconds(20, [2, 0]).stageExcessBadCalls(logThreshold) > 10);
});
