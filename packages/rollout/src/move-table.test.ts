import { test } from 'node:test';
import { MoveVerdict, type MoveIntent } from '@sequoiafield/types';
import { matchSnapshot } from '@sequoiafield/test-kit';
import { fakeMove, fakeService, fakeSnapshot } from './fakes/fake-configuration.js';
import { FakeMesh } from './fakes/fake-mesh.js';
import { createVerdictEntry } from './move-registers.js';

const startUnixMs = Date.UTC(2026, 0, 1);
const second = fakeMove(startUnixMs + 700_000, {
  ...{ id: 'settlement-v3', fromVersion: 'v2', toVersion: 'v3' },
  finishByUnixMs: startUnixMs + 1_300_000,
});

interface Situation {
  readonly name: string;
  readonly moves: readonly MoveIntent[];
  readonly atS: number;
  readonly stableVersion?: string;
  readonly verdicts?: Readonly<Record<string, MoveVerdict>>;
  readonly clockSkewMs?: number;
}

const first = fakeMove(startUnixMs);
const { Done, RolledBack } = MoveVerdict;
const done = { [first.id]: Done };
const rolledBack = { [first.id]: RolledBack };
const situations: readonly Situation[] = [
  { name: 'before the start', moves: [first], atS: -10 },
  { name: 'just before, within the skew', moves: [first], atS: -3 },
  { name: 'just before, clock 4 s ahead', moves: [first], atS: -3, clockSkewMs: 4000 },
  { name: 'started', moves: [first], atS: 60 },
  { name: 'no move listed', moves: [], atS: 60 },
  { name: 'move replaced', moves: [fakeMove(startUnixMs, { toVersion: 'v4' })], atS: 60 },
  { name: 'from another version than the stable one', moves: [second], atS: 800 },
  { name: 'rolled back', moves: [first], atS: 60, verdicts: rolledBack },
  {
    name: 'rolled back, then the same id with another version',
    atS: 60,
    verdicts: rolledBack,
    moves: [fakeMove(startUnixMs, { toVersion: 'v4' })],
  },
  {
    name: 'rolled back, then a new id',
    atS: 60,
    verdicts: rolledBack,
    moves: [first, { ...first, id: 'again' }],
  },
  { name: 'done', moves: [first], atS: 600, verdicts: done },
  {
    name: 'done, new version written as stable',
    moves: [first],
    atS: 600,
    verdicts: done,
    stableVersion: 'v2',
  },
  {
    name: 'rolled back in the watch, new version written as stable',
    moves: [first],
    atS: 600,
    verdicts: rolledBack,
    stableVersion: 'v2',
  },
  { name: 'next move after done', moves: [first, second], atS: 800, verdicts: done },
  { name: 'next move while the first is undecided', moves: [first, second], atS: 800 },
  {
    name: 'next move after the first was rolled back',
    moves: [first, second],
    atS: 800,
    verdicts: rolledBack,
  },
  {
    name: 'both done',
    moves: [first, second],
    atS: 1400,
    verdicts: { ...done, [second.id]: Done },
  },
  {
    name: 'second rolled back',
    moves: [first, second],
    atS: 1400,
    verdicts: { ...done, [second.id]: RolledBack },
  },
];

test('chosen and allowed versions follow from moves, verdicts and time', () => {
  // Guards against traffic to a version whose move is removed, replaced, blocked or rolled back.
  const mesh = new FakeMesh(1, startUnixMs);
  const lines = situations.map((situation) => {
    const { moves, atS, stableVersion, verdicts = {}, clockSkewMs } = situation;
    mesh.snapshot = fakeSnapshot({ moves, stableVersion });
    mesh.nowMs = atS * 1000;
    const options = { id: 'a', dataCentre: 'dc-1', service: fakeService, backendVersion: 'v1' };
    const node = mesh.add({ ...options, clockSkewMs });
    const { view } = node;
    Object.entries(verdicts).forEach(([moveId, verdict]) => {
      const body = { moveId, service: fakeService, verdict, reason: 'test', atUnixMs: startUnixMs };
      node.publish(createVerdictEntry(body));
    });
    const allowed = ['v1', 'v2', 'v3', 'v4'].filter((name) => view.isAllowed(fakeService, name));
    const chosen = `${view.chooseVersion(fakeService, 0)}..${view.chooseVersion(fakeService, 0.999)}`;
    return `${situation.name}: ${chosen}, allowed ${allowed.join(' ')}`;
  });
  const { view } = mesh.node('a');
  lines.push(
    `service not in the snapshot: ${view.chooseVersion('x', 0)}, allowed ${view.isAllowed('x', 'v9')}`,
  );
  mesh.close();
  matchSnapshot(
    import.meta.filename,
    'lowest roll..highest roll, allowed versions',
    lines.join('\n'),
  );
});
