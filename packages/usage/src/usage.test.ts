import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { StoreFault } from '@sequoiafield/store';
import { SeededRandom } from '@sequoiafield/tables';
import { pauseClock, type PausedClock } from '@sequoiafield/test-kit';
import { ReportOutcome, UsageCounter } from './index.js';
import { lateMs, UsageFleet, windowMs } from './test-support/usage-fleet.js';
import { UsageCollector } from './usage-collector.js';

/** Time after which all counts of a node are with its collectors; a server refuses within 2 s. */
const restMs = 2800;

let clock: PausedClock;

beforeEach(() => {
  clock = pauseClock();
});

afterEach(() => clock.resume());

test('each window is reported once, in time and with exact counts', async () => {
  // Guards against counts that differ by a request from what the servers ran, also for small accounts.
  const fleet = new UsageFleet(clock, [5, 4, 4]);
  await fleet.run(61_000, 3, 76);
  const reported = fleet.checkReports();
  assert.deepEqual(reported, fleet.windowsEnded(4500));
  assert.equal(fleet.sink.reportsCount, reported.length);
  for (const [window, { atUnixMs }] of fleet.sink.reports)
    assert.ok(atUnixMs - (window + 1) * windowMs < lateMs);
  // One write each window besides the record of the duty, and one request to each other data centre.
  assert.equal(fleet.store.calls.commit, 1 + reported.length);
  assert.ok(fleet.farRequests <= 2 * 2 * reported.length, `${fleet.farRequests} far requests`);
});

test('nothing is written and nothing sent while no account makes requests', async () => {
  // Guards against a price of the store that does not depend on use.
  const fleet = new UsageFleet(clock, [4]);
  await fleet.run(30_000, 0);
  assert.deepEqual([fleet.store.calls.commit, fleet.sink.reportsCount], [1, 0]);
  // Each node tells two collectors after each window that it has nothing.
  assert.ok(fleet.linkRequests <= 7 * 4 * 2, `${fleet.linkRequests} messages`);
});

test('a data centre with many nodes is counted once, although it has several groups', async () => {
  // Guards against collectors that get the messages of 1,100 nodes, and against counts taken twice.
  const fleet = new UsageFleet(clock, [110]);
  await fleet.run(16_000);
  assert.deepEqual(fleet.checkReports(), fleet.windowsEnded(4500));
});

const checkHolderKilled = async (killedAfterMs: number): Promise<void> => {
  const fleet = new UsageFleet(clock, [4, 4]);
  await fleet.run(12_000);
  // The requests of the last moments of a killed node are lost, so that it rests before.
  await fleet.run(killedAfterMs, 0);
  await fleet.run(restMs, 0);
  fleet.kill(fleet.holderId()!);
  await fleet.run(20_000);
  fleet.checkAllReported();
  assert.equal(fleet.sink.holders.length, 2);
};

// Each guards against a window that is lost or reported with two contents when the duty passes on.
for (let killedAfterMs = 100; killedAfterMs < windowMs; killedAfterMs += 700) {
  test(`the successor of a holder killed at ${killedAfterMs} ms reports the same and the rest`, () =>
    checkHolderKilled(killedAfterMs));
}

test('lost answers of the store and of the receiver lead to no second content', async () => {
  // Guards against sending counts that were not fixed, or that were fixed differently meanwhile.
  const fleet = new UsageFleet(clock, [4, 4]);
  const random = new SeededRandom(3);
  const storeFaults = [StoreFault.AnswerLost, StoreFault.WrittenLate, StoreFault.NotWritten];
  const sinkFaults = [ReportOutcome.Failed, ReportOutcome.RateLimited];
  fleet.store.decideFault = ({ operation }) =>
    operation !== 'renew' && random.next() < 0.4 ? storeFaults[random.nextInt(3)] : undefined;
  fleet.sink.decideFault = () => (random.next() < 0.5 ? sinkFaults[random.nextInt(2)] : undefined);
  await fleet.run(120_000);
  const reported = fleet.checkReports();
  assert.ok(reported.length >= 18, `${reported.length} windows`);
  assert.ok(fleet.sink.reportsCount > reported.length);
});

test('lost messages between nodes cost no accuracy', async () => {
  // Guards against counts that are only sent once.
  const fleet = new UsageFleet(clock, [5, 5]);
  const random = new SeededRandom(4);
  fleet.isLost = () => random.next() < 0.3;
  await fleet.run(41_000);
  fleet.checkAllReported();
});

test('a collector that is killed or starts again loses no counts', async () => {
  // Guards against counts that only one node holds.
  const fleet = new UsageFleet(clock, [5, 4]);
  await fleet.run(7000);
  await fleet.run(restMs, 0);
  const killed = fleet.kill('n0-1');
  await fleet.run(3000);
  fleet.start(killed);
  await fleet.run(3000);
  await fleet.run(restMs, 0);
  fleet.kill('n0-2');
  fleet.kill('n1-2');
  await fleet.run(16_000);
  fleet.checkAllReported();
});

test('while the store is unavailable nothing new is sent, and all of it afterwards', async () => {
  // Guards against reports whose content is not fixed.
  const fleet = new UsageFleet(clock, [4, 4]);
  await fleet.run(21_000);
  fleet.store.decideFault = () => StoreFault.NotWritten;
  const { size } = fleet.sink.reports;
  await fleet.run(20_000);
  assert.ok(fleet.sink.reports.size <= size + 1);
  fleet.store.decideFault = () => undefined;
  await fleet.run(12_000);
  assert.deepEqual(fleet.checkReports(), fleet.windowsEnded(4500));
});

test('a receiver that is down for a while gets the reports it missed', async () => {
  // Guards against windows that are given up while they still count.
  const fleet = new UsageFleet(clock, [4]);
  fleet.sink.decideFault = () => ReportOutcome.RateLimited;
  await fleet.run(25_000);
  fleet.sink.decideFault = () => undefined;
  await fleet.run(5000);
  assert.deepEqual(fleet.checkReports(), fleet.windowsEnded(4500));
});

test('a data centre that is cut off delays reports, but does not stop them', async () => {
  // Guards against reporting that waits for unreachable nodes.
  const fleet = new UsageFleet(clock, [4, 4]);
  await fleet.run(20_000);
  const holder = fleet.holderId()!;
  fleet.isLost = (from, to) => from.slice(0, 2) !== to.slice(0, 2);
  await fleet.run(20_000);
  const reports = [...fleet.sink.reports].filter(
    ([window]) => (window + 1) * windowMs < Date.now(),
  );
  assert.ok(reports.length >= 6, `${reports.length} reports`);
  for (const [window, { atUnixMs }] of reports)
    assert.ok(atUnixMs <= (window + 1) * windowMs + lateMs);
  assert.equal(fleet.holderId(), holder);
});

test('a node that is stopped while a window ends delivers its counts before they are fixed', async () => {
  // Guards against reports that lack the last counts of a node whose process was stopped.
  const fleet = new UsageFleet(clock, [5, 4]);
  await fleet.run(19_900);
  fleet.stoppedId = [...fleet.nodes.keys()].find((id) => id !== fleet.holderId())!;
  await fleet.run(6500);
  fleet.stoppedId = '';
  await fleet.run(16_000);
  fleet.checkAllReported();
});

test('a collector asks for everything if it lacks what a message builds on', () => {
  // Guards against counts that are missing after a node with the same id replaced the collector.
  const collector = new UsageCollector(windowMs, { senderIdsOf: () => ['n'] } as never);
  const counter = new UsageCounter(windowMs);
  counter.record('a0');
  const message = { incarnation: 1, sentAtUnixMs: Date.now(), knownAccountsCount: 0 };
  const changes = { newAccounts: counter.accounts, windows: counter.changesSince(0) };
  assert.equal(
    collector.receive('n', { ...message, ...changes, baseVersion: 1, version: 2 }),
    false,
  );
  assert.equal(
    collector.receive('n', { ...message, ...changes, baseVersion: 0, version: 2 }),
    true,
  );
  const [sum] = collector.sum([Math.floor(Date.now() / windowMs)], 0, 1);
  assert.deepEqual([...sum!.counts], [['a0', 1]]);
});

/** Runs with requests that are subtracted later, so that counts of fixed windows change. */
const runWithLateRefusals = async (fleet: UsageFleet, durationMs: number): Promise<() => void> => {
  const undos: (() => void)[] = [];
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 1000) {
    for (const { usage } of fleet.nodes.values()) undos.push(usage.counter.record('late'));
    await fleet.run(1000);
  }
  return () => undos.forEach((undo) => undo());
};

test('the holder sends what it fixed before the store was restored', async () => {
  // Guards against windows that are not reported although their content is known.
  const fleet = new UsageFleet(clock, [1]);
  await fleet.run(16_000);
  const restore = fleet.store.copy();
  fleet.sink.decideFault = () => ReportOutcome.RateLimited;
  const first = Math.floor(Date.now() / windowMs);
  const refuse = await runWithLateRefusals(fleet, 15_000);
  refuse();
  restore();
  fleet.sink.decideFault = () => undefined;
  await fleet.run(20_000);
  const late = [first, first + 1].map((window) => fleet.sink.reports.get(window)?.counts.late);
  assert.deepEqual(late, [4, 5]);
});

const checkRestored = async (copyAgeMs: number, isHolderKilled: boolean): Promise<void> => {
  const fleet = new UsageFleet(clock, [4, 4]);
  await fleet.run(20_000);
  const refuseFirst = await runWithLateRefusals(fleet, 11_000);
  const restore = fleet.store.copy();
  const refuseSecond = await runWithLateRefusals(fleet, copyAgeMs);
  await fleet.run(restMs, 0);
  if (isHolderKilled) fleet.kill(fleet.holderId()!);
  refuseFirst();
  refuseSecond();
  restore();
  await fleet.run(40_000);
  fleet.checkConflicts();
  const missing = fleet.windowsEnded(lateMs).filter((window) => !fleet.sink.reports.has(window));
  assert.ok(missing.length <= 2, `${missing.length} windows are not reported`);
};

// Each guards against a window that is reported again with other counts, since the store forgot it.
for (const copyAgeMs of [600, 3000, 7000, 12_000]) {
  for (const isHolderKilled of [true, false]) {
    const name = `a copy ${copyAgeMs} ms old, holder ${isHolderKilled ? 'killed' : 'alive'}`;
    test(`no window has two contents after the store was restored: ${name}`, () =>
      checkRestored(copyAgeMs, isHolderKilled));
  }
}
