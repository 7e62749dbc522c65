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

const service = (name: string, hasObjective = true): [string, ServiceSection] => [
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
  services: new Map([service('rounds'), service('settlement'), service('free', false)]),
};
const view = { current: () => snapshot, isServing: () => true, requestSection: () => undefined };

test('windows, burn rates and order of the report', async () => {
  // Guards against minutes that stay in a window or fall out early, and against a report that
  // hides nodes that did not answer.
  const clock = pauseClock();
  const burn = createBurnTracker({ snapshot: view });
  const record = (name: string, good: number, slow: number, failed: number): void => {
    for (let call = 0; call < good; call += 1) burn.record(name, false, 300);
    for (let call = 0; call < slow; call += 1) burn.record(name, false, 301);
    for (let call = 0; call < failed; call += 1) burn.record(name, true, 1);
  };
  record('settlement', 990, 5, 5);
  await clock.advance(2 * 3_600_000, 600_000);
  record('rounds', 999, 0, 1);
  record('free', 5, 0, 5);
  await clock.advance(600_000, 600_000);
  record('rounds', 900, 0, 0);
  burn.systems.forEach((system) =>
    system.run({ nowMs: 0, nowUnixMs: Date.now(), elapsedMs: 100, wasPaused: false }),
  );
  const fleet = { answered: 1, total: 4, missingIds: ['ath-1-b', 'ath-<2>'], value: burn.answer() };
  const report = summarizeBurn(fleet);
  matchSnapshot(import.meta.filename, 'table', formatBurnTable(report));
  matchSnapshot(import.meta.filename, 'page', formatBurnHtml(report));
  await clock.advance(6 * 3_600_000, 600_000);
  burn.systems.forEach((system) =>
    system.run({ nowMs: 60_000, nowUnixMs: Date.now(), elapsedMs: 100, wasPaused: false }),
  );
  const later = summarizeBurn({ ...fleet, value: burn.answer() });
  clock.resume();
  assert.ok(later.services.every(({ windows, points }) => windows[2]?.bad === 0 && !points.length));
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
  const normal = (value: BurnAnswer): unknown => JSON.parse(JSON.stringify(value));
  fc.assert(
    fc.property(answer, answer, answer, (a, b, c) => {
      const left = mergeBurnAnswers(mergeBurnAnswers(a, b), c);
      assert.deepEqual(normal(left), normal(mergeBurnAnswers(a, mergeBurnAnswers(b, c))));
      assert.deepEqual(normal(left), normal(mergeBurnAnswers(c, mergeBurnAnswers(b, a))));
    }),
    { seed: 3, numRuns: 200 },
  );
});
