import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { SeededRandom } from '@sequoiafield/tables';
import { matchSnapshot, pauseClock } from '@sequoiafield/test-kit';
import { DataCentreState, RefusalReason, type MemberRow } from '@sequoiafield/types';
import {
  computeDataCentreWeight,
  EjectionState,
  LocalityTier,
  TwoRandomChoicesSelector,
} from './index.js';
import type { WeightedCandidate } from './index.js';
import { OutlierEjector } from './outlier-ejector.js';
import { RendezvousRanking } from './rendezvous-ranking.js';
import { RouteTable } from './route-table.js';
import { TokenRetryBudget } from './token-retry-budget.js';

const candidate = (
  id: string,
  tier: LocalityTier,
  loadRatio: number,
  weight = 1,
): WeightedCandidate => ({
  row: { id } as MemberRow,
  tier,
  weight,
  loadRatio,
});

const countChoices = (
  candidates: readonly WeightedCandidate[],
  selfId = 'caller',
): Record<string, number> => {
  const selector = new TwoRandomChoicesSelector(new SeededRandom(7));
  const counts: Record<string, number> = {};
  for (let index = 0; index < 1000; index += 1) {
    const id = selector.choose(candidates, selfId)?.row.id ?? 'none';
    counts[id] = (counts[id] ?? 0) + 1;
  }
  return counts;
};

test('shares of 1000 choices follow load, tier and ramp', () => {
  // Guards against callers that all choose one member, load that is ignored, a ramp that is not applied
  // to the only near data centre, and an own instance that is used although it is busier.
  const { OwnDataCentre: near, OwnRegion: mid, OtherRegion: far } = LocalityTier;
  matchSnapshot(import.meta.filename, 'shares of 1000 choices', {
    'equal load spreads': countChoices([
      candidate('a', near, 0.1),
      candidate('b', near, 0.1),
      candidate('c', near, 0.1),
    ]),
    'the busiest of three is avoided': countChoices([
      candidate('a', near, 0.1),
      candidate('b', near, 0.1),
      candidate('busy', near, 0.5),
    ]),
    'near is preferred': countChoices([candidate('a', near, 0.7), candidate('b', mid, 0.1)]),
    'a loaded near member spills over': countChoices([
      candidate('a', near, 0.9),
      candidate('b', mid, 0.1),
    ]),
    'calls stay near when all are equally loaded': countChoices([
      candidate('a', near, 0.9),
      candidate('b', mid, 0.9),
      candidate('c', far, 0.9),
    ]),
    'a restored near data centre at 20 %': countChoices([
      candidate('a', near, 0.1, 0.2),
      candidate('b', mid, 0.1),
    ]),
    'only a restored data centre is left': countChoices([candidate('a', near, 0.1, 0.05)]),
    'own instance is preferred': countChoices(
      [candidate('own', near, 0.1), candidate('b', near, 0.1)],
      'own',
    ),
    'own instance is busier': countChoices(
      [candidate('own', near, 0.3), candidate('b', near, 0.1)],
      'own',
    ),
  });
});

test('the ramp of a restored data centre depends on configuration and time only', () => {
  // Guards against a ramp that depends on anything but the configuration and the time.
  const intent = {
    name: 'ath-1',
    region: 'hellas',
    state: DataCentreState.InService,
    rampS: 30,
    changedAtUnixMs: 1000,
  };
  const weights = [-5, 0, 3, 15, 29, 30, 600].map((s) => [
    `${s} s`,
    computeDataCentreWeight(intent, 1000 + s * 1000),
  ]);
  matchSnapshot(
    import.meta.filename,
    'ramp of a restored data centre',
    Object.fromEntries(weights),
  );
  assert.equal(computeDataCentreWeight({ ...intent, state: DataCentreState.Evacuated }, 1e12), 0);
});

const paths = [
  '/tabs',
  '/tabs/*',
  '/tabs/:id',
  '/tabs/:id/lines',
  '/tabs/open',
  '/:any/open',
  '/*',
];

test('the most specific route matches, regardless of the order of the index', () => {
  // Guards against matches that depend on the order in which files were merged.
  const requestedPaths = [
    '/tabs',
    '/tabs/',
    '/tabs/7',
    '/tabs/7?x=/a',
    '/tabs/7/lines',
    '/tabs/7/other',
  ]
    .concat(['/tabs/open', '/tabs/open/lines', '/rounds/open', '/rounds/9/x', '/', 'tabs'])
    .sort();
  const match = (order: readonly string[]): object => {
    const routeIndex = order.map((path) => ({ name: path, service: 's', method: 'GET', path }));
    const table = new RouteTable({ mesh: { dataCentres: [], routeIndex } });
    return Object.fromEntries(
      requestedPaths.map((path) => [path, table.find('GET', path)?.name ?? 'none']),
    );
  };
  matchSnapshot(import.meta.filename, 'most specific route', match(paths));
  fc.assert(
    fc.property(fc.shuffledSubarray(paths, { minLength: paths.length }), (order) => {
      assert.deepEqual(match(order), match(paths));
    }),
    { seed: 1, numRuns: 100 },
  );
});

test('removing one member changes at most one entry of a subset', () => {
  // Guards against subsets that replace all connections when one member leaves.
  const ids = Array.from({ length: 60 }, (_, index) => `m${index}`);
  fc.assert(
    fc.property(fc.string(), fc.integer({ min: 0, max: 59 }), (selfId, removedIndex) => {
      const before = new RendezvousRanking(selfId).top(ids, 12);
      const after = new RendezvousRanking(selfId).top(
        ids.filter((id) => id !== `m${removedIndex}`),
        12,
      );
      const remaining = before.filter((id) => after.includes(id));
      assert.equal(remaining.length, before.includes(`m${removedIndex}`) ? 11 : 12);
    }),
    { seed: 2, numRuns: 200 },
  );
});

test('retries stay under the budget in a retry storm', () => {
  // Guards against retries that multiply the load of a failing service.
  fc.assert(
    fc.property(
      fc.array(fc.boolean(), { maxLength: 3000 }),
      fc.integer({ min: 0, max: 100 }),
      (isFirst, budgetPercent) => {
        const budget = new TokenRetryBudget();
        const retries = isFirst.filter((first) => {
          if (first) budget.recordFirstAttempt('s');
          return !first && budget.takeRetry('s', budgetPercent);
        }).length;
        const firstAttempts = isFirst.filter(Boolean).length;
        assert.ok(retries <= 10 + (firstAttempts * budgetPercent) / 100 + 1e-6);
        assert.ok(budgetPercent > 0 || retries === 0);
      },
    ),
    { seed: 3, numRuns: 200 },
  );
});

test('back-off doubles, trials run one at a time, and a successful one ends the ejection', async () => {
  // Guards against many calls at once on a member that may still be down.
  const clock = pauseClock();
  const ejector = new OutlierEjector({ next: () => 0.5, nextInt: () => 0 });
  const report = (refusalReason?: RefusalReason, latencyMs = 0): void =>
    ejector.report({
      memberId: 'm',
      service: 's',
      hasFailed: refusalReason !== undefined,
      latencyMs,
      refusalReason,
    });
  const states: string[] = [];
  const recordState = (event: string): number =>
    states.push(`${event}: ${ejector.ejectionStateOf('m', 1)}`);
  recordState('start');
  report(RefusalReason.ConnectFailed);
  recordState('refused');
  report(RefusalReason.ConnectFailed);
  await clock.advance(990);
  report(undefined, 2000);
  recordState('an answer of a call that began before the ejection');
  recordState('990 ms later, a second refusal did not lengthen it');
  await clock.advance(10);
  recordState('1 s later');
  ejector.begin('m');
  recordState('trial runs');
  report(RefusalReason.ConnectFailed);
  recordState('trial failed');
  await clock.advance(1990);
  recordState('1.99 s later');
  await clock.advance(10);
  recordState('2 s later');
  ejector.begin('m');
  report(RefusalReason.QueueFull);
  recordState('trial met a full queue');
  ejector.begin('m');
  report();
  recordState('trial answered');
  report(RefusalReason.Draining);
  states.push(`restarted: ${ejector.ejectionStateOf('m', 2)}`);
  clock.resume();
  assert.equal(ejector.ejectionStateOf('other', 1), EjectionState.NotEjected);
  matchSnapshot(import.meta.filename, 'ejection', states);
});
