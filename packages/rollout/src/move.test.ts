import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MoveVerdict, type MoveStatus } from '@sequoiafield/types';
import {
  fakeDataCentres,
  fakeMove,
  fakeService,
  fakeSnapshot,
} from './fakes/fake-configuration.js';
import { FakeMesh } from './fakes/fake-mesh.js';
import { FakeTraffic, type FakeCall } from './fakes/fake-traffic.js';

const startUnixMs = Date.UTC(2026, 0, 1);

const createMesh = (): FakeMesh => {
  const mesh = new FakeMesh(7, startUnixMs);
  mesh.snapshot = fakeSnapshot({ moves: [fakeMove(startUnixMs)] });
  for (const dataCentre of fakeDataCentres) {
    for (const backendVersion of ['v1', 'v2']) {
      const id = `${dataCentre}-${backendVersion}`;
      mesh.add({ id, dataCentre, service: fakeService, backendVersion });
    }
  }
  return mesh;
};

const runMove = (callsPerSecond: number, newFailureRate: number): [MoveStatus, FakeTraffic] => {
  const mesh = createMesh();
  const run = ({
    backendVersion,
    random,
  }: FakeCall): { hasFailed: boolean; latencyMs: number } => ({
    hasFailed: random.next() < (backendVersion === 'v2' ? newFailureRate : 0.002),
    latencyMs: 10 + 20 * random.next(),
  });
  const routes = ['settle'];
  const options = { service: fakeService, routes, callsPerSecond, watchedVersion: 'v2', run };
  const traffic = new FakeTraffic(mesh, options);
  const status = (): MoveStatus | undefined => mesh.node('dc-3-v1').view.statuses()[0];
  for (let second = 0; second < 600; second += 1) {
    mesh.advance(1000, () => traffic.tick());
    if (status()?.verdict !== MoveVerdict.Undecided) break;
  }
  const last = status();
  mesh.close();
  assert.ok(last);
  return [last, traffic];
};

test('a good version with 3 calls/s is done within 10 min', () => {
  // Guards against a required number of calls that a service with little traffic cannot reach.
  assert.equal(runMove(3, 0.002)[0].verdict, MoveVerdict.Done);
});

test('a version that fails half of its calls is rolled back after at most 15 bad calls', () => {
  // Guards against a bad version that continues to receive traffic.
  const [status, traffic] = runMove(50, 0.5);
  assert.equal(status.verdict, MoveVerdict.RolledBack);
  assert.ok(traffic.watchedBadCalls <= 15, `${traffic.watchedBadCalls} bad calls`);
});
