import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MoveVerdict } from '@sequoiafield/types';
import {
  fakeDataCentres,
  fakeMove,
  fakeService,
  fakeSnapshot,
} from './fakes/fake-configuration.js';
import { FakeMesh } from './fakes/fake-mesh.js';
import { FakeTraffic } from './fakes/fake-traffic.js';
import { OutageResult, type OutageChecker } from './outage-checker.js';

const startUnixMs = Date.UTC(2026, 0, 1);
const doneWithinMs = 40_000;

const startMesh = (outageChecker?: OutageChecker): FakeMesh => {
  const mesh = new FakeMesh(29, startUnixMs);
  const move = fakeMove(startUnixMs, { finishByUnixMs: startUnixMs + doneWithinMs });
  mesh.snapshot = fakeSnapshot({ moves: [move] });
  const components = outageChecker && { outageChecker };
  for (const dataCentre of fakeDataCentres) {
    const start = (service: string, backendVersion: string): void => {
      const id = `${dataCentre}-${service}-${backendVersion}`;
      mesh.add({ id, dataCentre, service, backendVersion, components });
    };
    start(fakeService, 'v1');
    start(fakeService, 'v2');
    start('other', 'v1');
  }
  return mesh;
};

/** Verdict 20 s after half of the service's calls start to fail, and another's if `isGeneral`. */
const verdictAfterDone = (isGeneral: boolean, outageChecker?: OutageChecker): string => {
  const mesh = startMesh(outageChecker);
  const isOutage = (): boolean => mesh.nowMs > doneWithinMs + 10_000;
  const traffic = new FakeTraffic(mesh, {
    ...{ service: fakeService, routes: ['settle'], callsPerSecond: 100, watchedVersion: 'v2' },
    run: ({ random }) => ({ hasFailed: isOutage() && random.next() < 0.5, latencyMs: 10 }),
  });
  const tick = (): void => {
    traffic.tick();
    mesh.nodes().forEach(({ options: { service }, recorder }) => {
      if (service !== 'other') return;
      const hasFailed = isGeneral && isOutage() && mesh.random.next() < 0.5;
      const call = { route: 'other', backendVersion: 'v1', hasFailed, latencyMs: 5 };
      recorder.recordEnded({ service, ...call });
    });
  };
  const verdict = (): MoveVerdict =>
    mesh.node('dc-2-other-v1').view.statuses()[0]?.verdict ?? MoveVerdict.Undecided;
  mesh.advance(doneWithinMs, tick);
  assert.equal(verdict(), MoveVerdict.Done);
  mesh.advance(30_000, tick);
  mesh.close();
  return verdict();
};

test('a general outage after the move is done does not roll the version back', () => {
  // Guards against a good version that is rolled back in an outage of all services, and against a
  // bad one that is kept although other services are healthy. A check that queries no other node
  // rolls back the version.
  const withoutQueries: OutageChecker = { check: () => OutageResult.Local };
  assert.equal(verdictAfterDone(true), MoveVerdict.Done);
  assert.equal(verdictAfterDone(false), MoveVerdict.RolledBack);
  assert.equal(verdictAfterDone(true, withoutQueries), MoveVerdict.RolledBack);
});
