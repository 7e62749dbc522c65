import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MoveVerdict } from '@sequoiafield/types';
import fc from 'fast-check';
import { matchSnapshot } from '@sequoiafield/test-kit';
import type { RolloutComponents } from './create-rollout.js';
import type { RouteBlock } from './evidence-blocks.js';
import { decodeEvidence, encodeEvidence } from './evidence-message.js';
import { MaximumMerge, type EvidenceMerge } from './evidence-merge.js';
import { createEvidenceRow, type EvidenceRow } from './evidence-row.js';
import { EvidenceTable } from './evidence-table.js';
import {
  fakeDataCentres,
  fakeMove,
  fakeService,
  fakeSnapshot,
} from './fakes/fake-configuration.js';
import { FakeMesh } from './fakes/fake-mesh.js';
import { FakeTraffic, type FakeCall, type FakeOutcome } from './fakes/fake-traffic.js';
import { SequentialVersionTest } from './sequential-version-test.js';
import type { VersionTestFactory } from './version-test.js';

const startUnixMs = Date.UTC(2026, 0, 1);

/** Cumulative states of one row, as its reporter sent them one after the other. */
const growingRows = (steps: readonly number[]): EvidenceRow[] => {
  const key = {
    reporterId: 'a',
    incarnation: 1,
    dataCentre: 'dc-1',
    route: 'settle',
    targetId: 'b',
  };
  let calls = 0;
  return steps.map((step) => {
    calls += step;
    const row = createEvidenceRow({ ...key, side: 1, source: 1, stage: 2 });
    row.buckets[4] = calls - Math.floor(calls / 3);
    return { ...row, calls, failures: Math.floor(calls / 3), overLimit: Math.floor(calls / 5) };
  });
};

const receive = (
  evidenceMerge: EvidenceMerge,
  sent: readonly EvidenceRow[],
  order: readonly number[],
) => {
  const table = new EvidenceTable(evidenceMerge);
  order.forEach((index) => {
    const row = sent[index % sent.length];
    const message = encodeEvidence('m', 'v2', row ? [row] : [], 1000);
    decodeEvidence(message)?.rows.forEach((received) => table.merge(received, 0));
  });
  return [...table.rows()];
};

test('duplicated and reordered messages do not change the merged evidence', () => {
  // Guards against calls that are counted twice because messages are duplicated or reordered. A merge
  // that adds the counters must fail the same check.
  const adding: EvidenceMerge = {
    merge: (row, received) => {
      Object.assign(row, { calls: row.calls + received.calls });
      return true;
    },
  };
  const check = (evidenceMerge: EvidenceMerge): void =>
    fc.assert(
      fc.property(
        fc.array(fc.nat(50), { minLength: 1, maxLength: 6 }),
        fc.array(fc.nat(5), { maxLength: 20 }),
        (steps, order) => {
          const sent = growingRows(steps);
          const [row] = receive(evidenceMerge, sent, [...order, sent.length - 1]);
          assert.deepEqual(row, { ...sent[sent.length - 1], changedAtMs: 0 });
        },
      ),
      { seed: 9, numRuns: 300 },
    );
  check(new MaximumMerge());
  assert.throws(() => check(adding));
});

test('malformed messages are ignored', () => {
  // Guards against a datagram of another software version that stops the tick loop or corrupts the
  // counts.
  const wire = fc.tuple(fc.anything(), fc.anything(), fc.anything(), fc.array(fc.anything()));
  const message = fc.record({ move: fc.string(), to: fc.string(), groups: fc.array(wire) });
  fc.assert(
    fc.property(fc.oneof(fc.anything(), message), (body) => {
      decodeEvidence(body)?.rows.forEach(({ calls, failures }) => assert.ok(failures <= calls));
    }),
    { seed: 10, numRuns: 2000 },
  );
});

interface Scenario {
  readonly newVersionDataCentres?: readonly string[];
  readonly nodesPerDataCentre?: number;
  readonly routes?: readonly string[];
  readonly evacuatedDataCentres?: readonly string[];
  readonly components?: Partial<RolloutComponents>;
  readonly durationMs?: number;
  run(call: FakeCall): FakeOutcome;
}

const startScenario = (scenario: Scenario): [FakeMesh, FakeTraffic] => {
  const mesh = new FakeMesh(23, startUnixMs);
  const {
    routes = ['settle'],
    evacuatedDataCentres,
    nodesPerDataCentre = 1,
    components,
  } = scenario;
  const finishByUnixMs = startUnixMs + (scenario.durationMs ?? 600_000);
  const moves = [fakeMove(startUnixMs, { finishByUnixMs })];
  mesh.snapshot = fakeSnapshot({ moves, routes, evacuatedDataCentres });
  for (const dataCentre of fakeDataCentres) {
    const versions = (scenario.newVersionDataCentres ?? fakeDataCentres).includes(dataCentre)
      ? ['v1', 'v2']
      : ['v1'];
    for (const backendVersion of versions) {
      for (let index = 0; index < nodesPerDataCentre; index += 1) {
        const id = `${dataCentre}-${backendVersion}-${index}`;
        mesh.add({ id, dataCentre, service: fakeService, backendVersion, components });
      }
    }
  }
  const { run } = scenario;
  const options = { service: fakeService, routes, callsPerSecond: 200, watchedVersion: 'v2', run };
  return [mesh, new FakeTraffic(mesh, options)];
};

const finalVerdict = (mesh: FakeMesh, traffic: FakeTraffic, seconds: number): string => {
  mesh.advance(seconds * 1000, () => traffic.tick());
  const verdict = mesh.node('dc-2-v1-0').view.statuses()[0]?.verdict ?? 'none';
  mesh.close();
  return verdict;
};

const successfulOutcome = { hasFailed: false, latencyMs: 10 };
const isNew = ({ backendVersion }: FakeCall): boolean => backendVersion === 'v2';

/** Version test without the counts by backend server. */
class PooledServersTest extends SequentialVersionTest {
  override observe(blocks: ReadonlyMap<string, RouteBlock>): void {
    const dropServers = (block: RouteBlock): RouteBlock => ({
      ...block,
      reporters: new Map(),
      targets: new Map(),
    });
    super.observe(new Map([...blocks].map(([route, block]) => [route, dropServers(block)])));
  }
}

test('a version is rolled back for its own faults, not for a partition or one faulty server', () => {
  // Guards against hung servers that their own nodes do not report, and against a rollback because of
  // a partitioned or evacuated data centre, or of one faulty or hung backend server.
  const halfHung: Scenario = {
    run: (call) => ({ ...successfulOutcome, isHung: isNew(call) && call.random.next() < 0.5 }),
  };
  const oneServerHung: Scenario = {
    run: (call) => ({ ...successfulOutcome, isHung: isNew(call) && call.dataCentre === 'dc-1' }),
  };
  const createTest: VersionTestFactory = (...options) => new PooledServersTest(...options);
  const onlyInPartitionedDataCentre: Scenario = {
    newVersionDataCentres: ['dc-3'],
    run: (call) => ({ ...successfulOutcome, isHung: isNew(call) && call.nowMs > 30_000 }),
  };
  const failsInOne = (
    evacuatedDataCentres: readonly string[],
    nodesPerDataCentre: number,
  ): Scenario => ({
    ...{ evacuatedDataCentres, nodesPerDataCentre },
    run: (call) => ({ ...successfulOutcome, hasFailed: isNew(call) && call.dataCentre === 'dc-1' }),
  });
  const [partitionedMesh, partitionedTraffic] = startScenario(onlyInPartitionedDataCentre);
  partitionedMesh.advance(30_000, () => partitionedTraffic.tick());
  partitionedMesh.setPartitioned('dc-3', true);
  const verdicts = {
    'half of the calls hang': finalVerdict(...startScenario(halfHung), 40),
    'all calls hang': finalVerdict(
      ...startScenario({ run: (call) => ({ ...successfulOutcome, isHung: isNew(call) }) }),
      40,
    ),
    'one server of three hangs': finalVerdict(...startScenario(oneServerHung), 60),
    'the same, servers pooled': finalVerdict(
      ...startScenario({ ...oneServerHung, components: { createTest } }),
      60,
    ),
    'new version only in a partitioned data centre': finalVerdict(
      partitionedMesh,
      partitionedTraffic,
      15,
    ),
    'two servers of one data centre fail': finalVerdict(...startScenario(failsInOne([], 2)), 60),
    'the same, data centre evacuated': finalVerdict(...startScenario(failsInOne(['dc-1'], 2)), 60),
    'one server fails': finalVerdict(...startScenario(failsInOne([], 1)), 60),
  };
  matchSnapshot(import.meta.filename, 'verdict by situation', verdicts);
});

test('a move with one faulty server of three is done and its reason names the server', () => {
  // Guards against a move that stays undecided to its end because of one faulty backend server.
  const createTest: VersionTestFactory = (...options) => new PooledServersTest(...options);
  const reasonOf = (changes: Partial<Scenario>): string => {
    const [mesh, traffic] = startScenario({
      durationMs: 60_000,
      run: (call) => ({
        ...successfulOutcome,
        hasFailed: isNew(call) && call.dataCentre === 'dc-1',
      }),
      ...changes,
    });
    mesh.advance(60_000, () => traffic.tick());
    const { verdict, reason } = mesh.node('dc-2-v1-0').view.statuses()[0] ?? {};
    mesh.close();
    return `${verdict}, ${reason}`;
  };
  const reasons = {
    'one of three servers': reasonOf({}),
    'the same, servers pooled': reasonOf({ components: { createTest } }),
    'one of two servers': reasonOf({ newVersionDataCentres: ['dc-1', 'dc-2'] }),
  };
  matchSnapshot(import.meta.filename, 'verdict with one faulty server', reasons);
});

test('a removed or replaced intent ends the move at once', () => {
  // Guards against traffic, evidence or a proven stage that remain after the intent is removed.
  const [mesh, traffic] = startScenario({ run: () => successfulOutcome });
  mesh.advance(150_000, () => traffic.tick());
  const stageBefore = mesh.node('dc-2-v1-0').view.statuses()[0]?.provenStage ?? 0;
  assert.ok(stageBefore >= 2, `stage ${stageBefore}`);
  mesh.snapshot = fakeSnapshot({ configVersion: 2, moves: [] });
  const before = traffic.watchedCalls;
  mesh.advance(5000, () => traffic.tick());
  assert.equal(traffic.watchedCalls, before);
  assert.ok(mesh.nodes().every(({ view }) => view.statuses().length === 0));
  const moves = [fakeMove(startUnixMs, { id: 'again', toVersion: 'v3' })];
  mesh.snapshot = fakeSnapshot({ configVersion: 3, moves });
  mesh.advance(5000, () => traffic.tick());
  const [status] = mesh.node('dc-2-v1-0').view.statuses();
  mesh.close();
  assert.equal(traffic.watchedCalls, before);
  assert.deepEqual([status?.provenStage, status?.verdict], [0, MoveVerdict.Undecided]);
});

test('evidence of a service with 26 nodes and 5 routes stays within the byte budget', () => {
  // Guards against an exchange that exceeds the control budget of 15 KB/s.
  const routes = ['lookup', 'settle', 'refund', 'list', 'status'];
  const [mesh, traffic] = startScenario({
    routes,
    nodesPerDataCentre: 4,
    run: () => successfulOutcome,
  });
  for (const id of ['dc-1-v1-x', 'dc-2-v1-x']) {
    mesh.add({ id, dataCentre: id.slice(0, 4), service: fakeService, backendVersion: 'v1' });
  }
  mesh.isCountingBytes = true;
  const seconds = 20;
  mesh.advance(seconds * 1000, () => traffic.tick());
  const perSecond = (bytes: ReadonlyMap<string, number>): number =>
    Math.max(...bytes.values()) / seconds;
  const [sent, received] = [perSecond(mesh.sentBytes), perSecond(mesh.receivedBytes)];
  mesh.close();
  assert.ok(sent > 0 && sent < 5000, `${sent} bytes/s sent`);
  assert.ok(received > 0 && received < 15_000, `${received} bytes/s received`);
  const bytesPerSecond = `${Math.round(sent / 100) * 100} sent, ${Math.round(received / 100) * 100} received`;
  matchSnapshot(import.meta.filename, 'bytes per second as JSON, busiest node', bytesPerSecond);
});
