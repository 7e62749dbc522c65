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
  merging: EvidenceMerge,
  sent: readonly EvidenceRow[],
  order: readonly number[],
) => {
  const table = new EvidenceTable(merging);
  order.forEach((at) => {
    const row = sent[at % sent.length];
    const message = encodeEvidence('m', 'v2', row ? [row] : [], 1000);
    decodeEvidence(message)?.rows.forEach((received) => table.merge(received, 0));
  });
  return [...table.rows()];
};

test('evidence is the same however often and in whatever order it arrives', () => {
  // Guards against calls counted twice. Adding instead of the maximum is the mechanism switched off.
  const adding: EvidenceMerge = {
    merge: (row, received) => {
      Object.assign(row, { calls: row.calls + received.calls });
      return true;
    },
  };
  const check = (merging: EvidenceMerge): void =>
    fc.assert(
      fc.property(
        fc.array(fc.nat(50), { minLength: 1, maxLength: 6 }),
        fc.array(fc.nat(5), { maxLength: 20 }),
        (steps, order) => {
          const sent = growingRows(steps);
          const [row] = receive(merging, sent, [...order, sent.length - 1]);
          assert.deepEqual(row, { ...sent[sent.length - 1], changedAtMs: 0 });
        },
      ),
      { seed: 9, numRuns: 300 },
    );
  check(new MaximumMerge());
  assert.throws(() => check(adding));
});

test('malformed messages are ignored', () => {
  // Guards against a datagram of another version that stops the tick loop or poisons the counts.
  const wire = fc.tuple(fc.anything(), fc.anything(), fc.anything(), fc.array(fc.anything()));
  const message = fc.record({ move: fc.string(), to: fc.string(), groups: fc.array(wire) });
  fc.assert(
    fc.property(fc.oneof(fc.anything(), message), (body) => {
      decodeEvidence(body)?.rows.forEach(({ calls, failures }) => assert.ok(failures <= calls));
    }),
    { seed: 10, numRuns: 2000 },
  );
});

interface Scene {
  readonly newIn?: readonly string[];
  readonly nodesPerCentre?: number;
  readonly routes?: readonly string[];
  readonly outDataCentres?: readonly string[];
  readonly parts?: Partial<RolloutComponents>;
  readonly durationMs?: number;
  run(call: FakeCall): FakeOutcome;
}

const startScene = (scene: Scene): [FakeMesh, FakeTraffic] => {
  const mesh = new FakeMesh(23, startUnixMs);
  const { routes = ['settle'], outDataCentres, nodesPerCentre = 1, parts } = scene;
  const finishByUnixMs = startUnixMs + (scene.durationMs ?? 600_000);
  const moves = [fakeMove(startUnixMs, { finishByUnixMs })];
  mesh.snapshot = fakeSnapshot({ moves, routes, evacuatedDataCentres: outDataCentres });
  for (const dataCentre of fakeDataCentres) {
    const versions = (scene.newIn ?? fakeDataCentres).includes(dataCentre) ? ['v1', 'v2'] : ['v1'];
    for (const backendVersion of versions) {
      for (let index = 0; index < nodesPerCentre; index += 1) {
        const id = `${dataCentre}-${backendVersion}-${index}`;
        mesh.add({ id, dataCentre, service: fakeService, backendVersion, components: parts });
      }
    }
  }
  const { run } = scene;
  const options = { service: fakeService, routes, callsPerSecond: 200, watchedVersion: 'v2', run };
  return [mesh, new FakeTraffic(mesh, options)];
};

const finalVerdict = (mesh: FakeMesh, traffic: FakeTraffic, seconds: number): string => {
  mesh.advance(seconds * 1000, () => traffic.tick());
  const verdict = mesh.node('dc-2-v1-0').view.statuses()[0]?.verdict ?? 'none';
  mesh.close();
  return verdict;
};

const well = { hasFailed: false, latencyMs: 10 };
const isNew = ({ backendVersion }: FakeCall): boolean => backendVersion === 'v2';

/** The real test, which is not told on which backend server calls failed or hung. */
class PooledServersTest extends SequentialVersionTest {
  override observe(blocks: ReadonlyMap<string, RouteBlock>): void {
    const strip = (block: RouteBlock): RouteBlock => ({
      ...block,
      reporters: new Map(),
      targets: new Map(),
    });
    super.observe(new Map([...blocks].map(([route, block]) => [route, strip(block)])));
  }
}

test('what counts against a version and what does not', () => {
  // Guards against hung servers that no node beside them reports, and against blaming a version for
  // a data centre that is cut off or out, or for one faulty or hung backend server.
  const hung: Scene = {
    run: (call) => ({ ...well, isHung: isNew(call) && call.random.next() < 0.5 }),
  };
  const hungOne: Scene = {
    run: (call) => ({ ...well, isHung: isNew(call) && call.dataCentre === 'dc-1' }),
  };
  const createTest: VersionTestFactory = (...options) => new PooledServersTest(...options);
  const inCutCentre: Scene = {
    newIn: ['dc-3'],
    run: (call) => ({ ...well, isHung: isNew(call) && call.nowMs > 30_000 }),
  };
  const failsInOne = (outDataCentres: readonly string[], nodesPerCentre: number): Scene => ({
    ...{ outDataCentres, nodesPerCentre },
    run: (call) => ({ ...well, hasFailed: isNew(call) && call.dataCentre === 'dc-1' }),
  });
  const [cutMesh, cutTraffic] = startScene(inCutCentre);
  cutMesh.advance(30_000, () => cutTraffic.tick());
  cutMesh.setPartitioned('dc-3', true);
  const verdicts = {
    'half of the calls hang': finalVerdict(...startScene(hung), 40),
    'all calls hang': finalVerdict(
      ...startScene({ run: (call) => ({ ...well, isHung: isNew(call) }) }),
      40,
    ),
    'one server of three hangs': finalVerdict(...startScene(hungOne), 60),
    'the same, servers not told apart': finalVerdict(
      ...startScene({ ...hungOne, parts: { createTest } }),
      60,
    ),
    'new version only in a data centre that is cut': finalVerdict(cutMesh, cutTraffic, 15),
    'two servers of one data centre fail': finalVerdict(...startScene(failsInOne([], 2)), 60),
    'the same, data centre out': finalVerdict(...startScene(failsInOne(['dc-1'], 2)), 60),
    'one server fails': finalVerdict(...startScene(failsInOne([], 1)), 60),
  };
  matchSnapshot(import.meta.filename, 'verdict by situation', verdicts);
});

test('a version that fails on one of its servers is done and the server is named', () => {
  // Guards against a move that one faulty backend server keeps undecided to its end.
  const createTest: VersionTestFactory = (...options) => new PooledServersTest(...options);
  const reasonOf = (changes: Partial<Scene>): string => {
    const [mesh, traffic] = startScene({
      durationMs: 60_000,
      run: (call) => ({ ...well, hasFailed: isNew(call) && call.dataCentre === 'dc-1' }),
      ...changes,
    });
    mesh.advance(60_000, () => traffic.tick());
    const { verdict, reason } = mesh.node('dc-2-v1-0').view.statuses()[0] ?? {};
    mesh.close();
    return `${verdict}, ${reason}`;
  };
  const reasons = {
    'one of three servers': reasonOf({}),
    'the same, servers not told apart': reasonOf({ parts: { createTest } }),
    'one of two servers': reasonOf({ newIn: ['dc-1', 'dc-2'] }),
  };
  matchSnapshot(import.meta.filename, 'verdict with one faulty server', reasons);
});

test('a removed or replaced intent ends the move at once', () => {
  // Guards against traffic, evidence or a proven stage that outlive the intent.
  const [mesh, traffic] = startScene({ run: () => well });
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
  // Guards against an exchange that takes more than the control budget of 15 KB/s.
  const routes = ['lookup', 'settle', 'refund', 'list', 'status'];
  const [mesh, traffic] = startScene({ routes, nodesPerCentre: 4, run: () => well });
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
  const usual = `${Math.round(sent / 100) * 100} sent, ${Math.round(received / 100) * 100} received`;
  matchSnapshot(import.meta.filename, 'bytes per second as JSON, busiest node', usual);
});
