import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MoveVerdict, type RegisterEntry } from '@sequoiafield/types';
import { matchSnapshot } from '@sequoiafield/test-kit';
import type { RolloutComponents } from './create-rollout.js';
import { addVersionCounts, createVersionCounts, type RouteBlock } from './evidence-blocks.js';
import {
  fakeDataCentres,
  fakeMove,
  fakeService,
  fakeSnapshot,
} from './fakes/fake-configuration.js';
import { FakeMesh } from './fakes/fake-mesh.js';
import type { FakeNode } from './fakes/fake-node.js';
import { FakeTraffic, type FakeCall } from './fakes/fake-traffic.js';
import { MoveRegisters, createVerdictEntry } from './move-registers.js';
import { SequentialVersionTest } from './sequential-version-test.js';
import { plannedPercent, stageCapPercent } from './shares.js';
import type { VersionTest } from './version-test.js';

const startUnixMs = Date.UTC(2026, 0, 1);
const move = fakeMove(startUnixMs, { finishByUnixMs: startUnixMs + 40_000 });
const faultMs = 8000;
/** Time after a rollback from which new calls to the version violate the invariant. */
const afterVerdictMaxMs = 3000;

interface Fault {
  /** Offset of the clocks in each data centre, from the start of the run. */
  readonly skewMs?: readonly [number, number, number];
  /** Whether the store is down, from the start of the run. */
  readonly isStoreDown?: boolean;
  /** Data centre that cannot exchange verdicts with the others during the fault. */
  readonly isolatedDataCentre?: string;
  begin?(mesh: FakeMesh): void;
  end?(mesh: FakeMesh): void;
}

const nodesIn = (mesh: FakeMesh, dataCentre: string): FakeNode[] =>
  mesh.nodes().filter(({ options }) => options.dataCentre === dataCentre);
const setPaused = (mesh: FakeMesh, isPaused: boolean): void =>
  nodesIn(mesh, 'dc-1').forEach((node) => Object.assign(node, { isPaused }));
const resetNetwork = (mesh: FakeMesh): void => {
  Object.assign(mesh, { network: () => [5] });
};
const publishConflictingVerdicts = (mesh: FakeMesh): void => {
  const body = { moveId: move.id, service: fakeService, reason: 'race', atUnixMs: mesh.nowUnixMs };
  const judge = mesh.node('dc-1-v1');
  const stage = judge.view.statuses()[0]?.provenStage ?? 0;
  judge.publish(createVerdictEntry({ ...body, verdict: MoveVerdict.RolledBack }));
  new MoveRegisters(mesh.node('dc-2-v1')).publishStage(move, stage + 1);
  mesh.node('dc-2-v1').publish(createVerdictEntry({ ...body, verdict: MoveVerdict.Done }));
};

const faults: Readonly<Record<string, Fault>> = {
  none: {},
  'evidence lost': {
    begin: (mesh) =>
      Object.assign(mesh, {
        network: (...[, , , isRegister]: unknown[]) => (isRegister ? [5] : []),
      }),
    end: resetNetwork,
  },
  duplicated: {
    begin: (mesh) => Object.assign(mesh, { network: () => [5, 400, 1200] }),
    end: resetNetwork,
  },
  reordered: {
    begin: (mesh) => Object.assign(mesh, { network: () => [mesh.random.next() * 3000] }),
    end: resetNetwork,
  },
  'nodes restarted': {
    begin: (mesh) => nodesIn(mesh, 'dc-1').forEach(({ id }) => mesh.restart(id)),
  },
  'nodes paused': {
    isolatedDataCentre: 'dc-1',
    begin: (mesh) => setPaused(mesh, true),
    end: (mesh) => setPaused(mesh, false),
  },
  'clocks 4 s apart each way': { skewMs: [4000, -4000, 0] },
  'store down': { isStoreDown: true },
  'data centre partitioned': {
    isolatedDataCentre: 'dc-3',
    begin: (mesh) => mesh.setPartitioned('dc-3', true),
    end: (mesh) => mesh.setPartitioned('dc-3', false),
  },
  'verdict races stage': { begin: publishConflictingVerdicts },
};

/** Steps at which fault and defect begin: a proven stage, a verdict, or the watch. */
const steps = ['0', '1', '2', '3', '4', '5', '6', 'verdict', 'done', 'watch'] as const;
type Step = (typeof steps)[number];

interface Run {
  readonly isBad: boolean;
  readonly step: Step;
  readonly fault: Fault;
  readonly components?: Partial<RolloutComponents>;
  readonly callsPerSecond?: number;
  readonly isAccepted?: (known: RegisterEntry | undefined, entry: RegisterEntry) => boolean;
  readonly faultyDataCentre?: string;
  /** Data centres with backend servers of the new version; all if left out. */
  readonly newVersionDataCentres?: readonly string[];
}

const startMesh = ({ fault, components, isAccepted, newVersionDataCentres }: Run): FakeMesh => {
  const mesh = new FakeMesh(17, startUnixMs);
  if (isAccepted) mesh.isAccepted = isAccepted;
  mesh.snapshot = fakeSnapshot({ moves: [move] });
  const failing = async (): Promise<undefined> => Promise.reject(new Error('store is down'));
  const verdictStore = fault.isStoreDown ? { read: failing, write: failing } : undefined;
  fakeDataCentres.forEach((dataCentre, index) => {
    const clockSkewMs = fault.skewMs?.[index];
    const start = (name: string, service: string, backendVersion: string): FakeNode =>
      mesh.add({
        ...{ id: `${dataCentre}-${name}`, dataCentre, service, backendVersion },
        ...{ clockSkewMs, components, verdictStore },
      });
    start('v1', fakeService, 'v1');
    if (newVersionDataCentres?.includes(dataCentre) ?? true) start('v2', fakeService, 'v2');
    start('other', 'other', 'v1');
  });
  return mesh;
};

const statusOf = (node: FakeNode) => node.view.statuses()[0];

/** Runs one case and returns the final verdict with all violated invariants. */
const runCase = (run: Run): { verdict: string; violations: string[] } => {
  const mesh = startMesh(run);
  const violations = new Set<string>();
  let stepAtMs: number | undefined;
  /** Time of the first rollback on each side of a partition. */
  const rolledBackAtMs = new Map<boolean, number>();
  let doneAtMs: number | undefined;
  const rolledBackNodes = new Set<FakeNode>();
  const runCall = ({ backendVersion, dataCentre, random }: FakeCall) => {
    const isDefect = run.isBad && backendVersion === 'v2' && stepAtMs !== undefined;
    const isDefectEarly = run.isBad && backendVersion === 'v2' && run.step === 'verdict';
    const isFaultyDataCentre = dataCentre === run.faultyDataCentre;
    const rate = isDefect || isDefectEarly || isFaultyDataCentre ? 0.6 : 0.001;
    return { hasFailed: random.next() < rate, latencyMs: 10 + 10 * random.next() };
  };
  const isFaultOver = (): boolean => mesh.nowMs > (stepAtMs ?? Infinity) + faultMs;
  const isIsolated = ({ options }: FakeNode): boolean =>
    options.dataCentre === run.fault.isolatedDataCentre;
  const onCall = (caller: FakeNode, version: string): void => {
    const own = rolledBackAtMs.get(isIsolated(caller));
    const other = rolledBackAtMs.get(!isIsolated(caller));
    const learnedAtMs = other && isFaultOver() && Math.max(other, (stepAtMs ?? 0) + faultMs);
    const knownAtMs = Math.min(own ?? Infinity, learnedAtMs || Infinity);
    const isLate = mesh.nowMs - knownAtMs > afterVerdictMaxMs;
    if (version === 'v2' && isLate) violations.add('new call long after the verdict');
  };
  const { callsPerSecond = 100 } = run;
  const traffic = new FakeTraffic(mesh, {
    ...{ service: fakeService, routes: ['settle'], callsPerSecond, watchedVersion: 'v2' },
    ...{ run: runCall, onCall },
  });
  const isStepReached = (): boolean => {
    const status = statusOf(mesh.node('dc-2-other'));
    if (run.step === 'verdict') return rolledBackAtMs.size > 0 || doneAtMs !== undefined;
    if (run.step === 'done') return doneAtMs !== undefined;
    if (run.step === 'watch') return doneAtMs !== undefined && mesh.nowMs > doneAtMs + 5000;
    return (status?.provenStage ?? 0) >= Number(run.step) && mesh.nowMs > 200;
  };
  const check = (): void => {
    mesh.nodes().forEach((node) => {
      const status = statusOf(node);
      if (!status || node.isPaused) return;
      if (status.verdict === MoveVerdict.RolledBack) {
        rolledBackNodes.add(node);
        const side = isIsolated(node);
        rolledBackAtMs.set(side, rolledBackAtMs.get(side) ?? mesh.nowMs);
      } else if (rolledBackNodes.has(node)) violations.add('a rollback was reverted');
      const capPercent = stageCapPercent(move, status.provenStage);
      if (status.verdict === MoveVerdict.Undecided && status.sharePercent > capPercent) {
        violations.add('share over the cap');
      }
      if (callsPerSecond === 0 && status.provenStage > 0) violations.add('stage without evidence');
    });
    if (statusOf(mesh.node('dc-2-other'))?.verdict === MoveVerdict.Done) doneAtMs ??= mesh.nowMs;
  };
  for (let tick = 0; tick < 900; tick += 1) {
    mesh.advance(100, () => traffic.tick());
    check();
    if (stepAtMs === undefined && isStepReached()) {
      stepAtMs = mesh.nowMs;
      run.fault.begin?.(mesh);
    }
    if (stepAtMs !== undefined && mesh.nowMs - stepAtMs === faultMs) run.fault.end?.(mesh);
    const finalVerdictAtMs = [...rolledBackAtMs.values()][0] ?? (run.isBad ? undefined : doneAtMs);
    const endFromMs = Math.max(finalVerdictAtMs ?? Infinity, (stepAtMs ?? Infinity) + faultMs);
    if (mesh.nowMs > endFromMs + 5000) break;
  }
  const verdicts = new Set(mesh.nodes().map((node) => statusOf(node)?.verdict ?? 'none'));
  mesh.close();
  if (verdicts.size > 1) violations.add('nodes disagree');
  return { verdict: [...verdicts].join(' and '), violations: [...violations] };
};

for (const [name, fault] of Object.entries(faults)) {
  test(`good and bad versions get the right verdict at each step with fault: ${name}`, () => {
    // Guards against a fault that lets a bad version complete, rolls back a good one, reverts a
    // rollback, exceeds a cap or leaves traffic on a version after its rollback.
    const lines = steps.map((step) => {
      const results = [false, true].map((isBad) => runCase({ isBad, step, fault }));
      results.forEach(({ violations }) => assert.deepEqual(violations, [], `step ${step}`));
      assert.equal(results[1]?.verdict, MoveVerdict.RolledBack, `bad at step ${step}`);
      return `${step.padStart(7)}: good ${results[0]?.verdict}, bad ${results[1]?.verdict}`;
    });
    matchSnapshot(import.meta.filename, name, lines.join('\n'));
  });
}

const noTest: VersionTest = {
  observe: () => undefined,
  finding: () => undefined,
  logEvidenceAgainst: () => 0,
  beginStage: () => undefined,
  stageExcessFailures: () => 0,
  faultyServers: () => new Set(),
  discardUncomparedEvidence: () => undefined,
};

/** Version test that pools all data centres. */
class PooledTest extends SequentialVersionTest {
  override observe(blocks: ReadonlyMap<string, RouteBlock>): void {
    const pool = (block: RouteBlock): RouteBlock => {
      const all = { old: createVersionCounts(), next: createVersionCounts() };
      block.dataCentres.forEach(({ old, next }) => {
        addVersionCounts(all.old, old);
        addVersionCounts(all.next, next);
      });
      return { ...block, dataCentres: new Map([['', all]]) };
    };
    super.observe(new Map([...blocks].map(([route, block]) => [route, pool(block)])));
  }
}

test('each invariant is violated once its mechanism is disabled', () => {
  // Guards against checks that cannot fail: each row runs the same checks once with and once without
  // one mechanism, and records the violations.
  const { none = {}, 'verdict races stage': race = {} } = faults;
  const oneFaultyDataCentre = { faultyDataCentre: 'dc-1', newVersionDataCentres: ['dc-1'] };
  const mutations: Readonly<Record<string, [Run, Partial<Run>]>> = {
    'no test': [
      { isBad: true, step: '0', fault: none },
      { components: { createTest: () => noTest } },
    ],
    'no test in the watch': [
      { isBad: true, step: 'watch', fault: none },
      { components: { createTest: () => noTest } },
    ],
    'share without cap': [
      { isBad: false, step: '0', fault: none },
      { components: { sharePolicy: { sharePercent: plannedPercent } } },
    ],
    'stage without evidence': [
      { isBad: false, step: '0', fault: none, callsPerSecond: 0 },
      { components: { stageGate: { isProven: () => true } } },
    ],
    'registers without rank': [
      { isBad: false, step: '3', fault: race },
      { isAccepted: (known, entry) => known?.body !== entry.body },
    ],
    'no split by data centre': [
      { isBad: false, step: '0', fault: none, ...oneFaultyDataCentre },
      { components: { createTest: (...options) => new PooledTest(...options) } },
    ],
  };
  const lines = Object.entries(mutations).map(([name, [run, mutation]]) => {
    const [real, mutated] = [runCase(run), runCase({ ...run, ...mutation })].map(
      ({ verdict, violations }) => [verdict, ...violations].join(', '),
    );
    assert.notEqual(real, mutated, name);
    return `${name}: ${mutated}; with the mechanism: ${real}`;
  });
  matchSnapshot(import.meta.filename, 'mechanism disabled', lines.join('\n'));
});
