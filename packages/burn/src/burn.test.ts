import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Priority, type ServiceSection, type Snapshot } from '@sequoiafield/types';
import fc from 'fast-check';
import { matchSnapshot, pauseClock } from '@sequoiafield/test-kit';
import {
  createBurnTracker,
  formatBurnHtml,
  formatBurnTable,
  mergeBurnAnswers,
  summarizeBurn,
  type BurnAnswer,
} from './index.js';

const createService = (name: string, hasObjective = true): [string, ServiceSection] => [
  name,
  {
    service: {
      ...{ name, priority: Priority.Normal, stableVersion: 'v1', slots: 1, connectionsMax: 1 },
      ...{ failureLimitPercent: 1, latencyLimitMs: 100 },
    },
    routes: [],
    moves: [],
    objective: hasObjective
      ? { service: name, targetPercent: 99.9, latencyMs: 300, windowDays: 30 }
      : undefined,
  },
];

const snapshot: Snapshot = {
  configVersion: 1,
  manifestDigest: '',
  mesh: { dataCentres: [], routeIndex: [] },
  services: new Map([
    createService('rounds'),
    createService('settlement'),
    createService('free', false),
  ]),
};
const snapshotView = {
  current: () => snapshot,
  isServing: () => true,
  requestSection: () => undefined,
};

test('the report has correct windows and burn rates and lists the worst service first', async () => {
  // Guards against minutes that stay in a window too long or leave it early, and against a report
  // that omits nodes that did not answer.
  const clock = pauseClock();
  const burn = createBurnTracker({ snapshot: snapshotView });
  const recordCalls = (name: string, good: number, slow: number, failed: number): void => {
    for (let call = 0; call < good; call += 1) burn.record(name, false, 300);
    for (let call = 0; call < slow; call += 1) burn.record(name, false, 301);
    for (let call = 0; call < failed; call += 1) burn.record(name, true, 1);
  };
  recordCalls('settlement', 990, 5, 5);
  await clock.advance(2 * 3_600_000, 600_000);
  recordCalls('rounds', 999, 0, 1);
  recordCalls('free', 5, 0, 5);
  await clock.advance(600_000, 600_000);
  recordCalls('rounds', 900, 0, 0);
  burn.systems.forEach((system) =>
    system.run({ nowMs: 0, nowUnixMs: Date.now(), elapsedMs: 100, wasPaused: false }),
  );
  const fleetAnswer = {
    answered: 1,
    total: 4,
    missingIds: ['ath-1-b', 'ath-<2>'],
    value: burn.answer(),
  };
  const report = summarizeBurn(fleetAnswer);
  matchSnapshot(import.meta.filename, 'table', formatBurnTable(report));
  matchSnapshot(import.meta.filename, 'page', formatBurnHtml(report));
  await clock.advance(6 * 3_600_000, 600_000);
  burn.systems.forEach((system) =>
    system.run({ nowMs: 60_000, nowUnixMs: Date.now(), elapsedMs: 100, wasPaused: false }),
  );
  const reportAfterWindows = summarizeBurn({ ...fleetAnswer, value: burn.answer() });
  clock.resume();
  assert.ok(
    reportAfterWindows.services.every(
      ({ windows, points }) => windows[2]?.bad === 0 && !points.length,
    ),
  );
});

test('merging answers does not depend on order or grouping', () => {
  // Guards against a fleet report that depends on which delegate answered first.
  const counts = fc.record({ good: fc.nat(1000), bad: fc.nat(1000) });
  const answer: fc.Arbitrary<BurnAnswer> = fc.dictionary(
    fc.constantFrom('rounds', 'settlement'),
    fc.record({
      targetPercent: fc.constantFrom(99, 99.9),
      latencyMs: fc.constantFrom(200, 300),
      windowDays: fc.constant(30),
      windows: fc.tuple(counts, counts, counts),
      points: fc.dictionary(fc.constantFrom('1', '2'), counts),
    }),
  );
  const toPlainJson = (value: BurnAnswer): unknown => JSON.parse(JSON.stringify(value));
  fc.assert(
    fc.property(answer, answer, answer, (a, b, c) => {
      const left = mergeBurnAnswers(mergeBurnAnswers(a, b), c);
      assert.deepEqual(toPlainJson(left), toPlainJson(mergeBurnAnswers(a, mergeBurnAnswers(b, c))));
      assert.deepEqual(toPlainJson(left), toPlainJson(mergeBurnAnswers(c, mergeBurnAnswers(b, a))));
    }),
    { seed: 3, numRuns: 200 },
  );
});
