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
import type { VerdictBody } from './move-state.js';
import { createVerdictEntry } from './move-registers.js';
import type { VerdictStore } from './verdict-writer.js';

const startUnixMs = Date.UTC(2026, 0, 1);
const verdictOf = (verdict: MoveVerdict): VerdictBody => ({
  ...{ moveId: 'settlement-v2', service: fakeService, verdict, reason: 'test' },
  atUnixMs: startUnixMs,
});

class FakeStore implements VerdictStore {
  isDown = false;

  storedVerdict: VerdictBody | undefined;

  reads = 0;

  writes = 0;

  async read(): Promise<VerdictBody | undefined> {
    this.reads += 1;
    if (this.isDown) throw new Error('store is down');
    return this.storedVerdict;
  }

  async write(verdict: VerdictBody): Promise<void> {
    if (this.isDown) throw new Error('store is down');
    this.writes += 1;
    this.storedVerdict = verdict;
  }
}

const advance = async (mesh: FakeMesh, seconds: number): Promise<void> => {
  for (let tick = 0; tick < seconds * 10; tick += 1) {
    mesh.advance(100);
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
};

const createMesh = (store?: VerdictStore): FakeMesh => {
  const mesh = new FakeMesh(3, startUnixMs);
  mesh.snapshot = fakeSnapshot({ moves: [fakeMove(startUnixMs)] });
  for (let index = 0; index < 12; index += 1) {
    const dataCentre = fakeDataCentres[index % 3] ?? '';
    const id = `${dataCentre}-${index}`;
    mesh.add({ id, dataCentre, service: fakeService, backendVersion: 'v1', verdictStore: store });
  }
  return mesh;
};

test('a verdict published while the store is down is written by few nodes once it is up', async () => {
  // Guards against a lost verdict, and against all nodes of a service writing it at the same time.
  const store = new FakeStore();
  const mesh = createMesh(store);
  store.isDown = true;
  mesh.node('dc-1-0').publish(createVerdictEntry(verdictOf(MoveVerdict.RolledBack)));
  await advance(mesh, 60);
  assert.ok(store.reads <= 20, `${store.reads} reads in 60 s of outage`);
  assert.equal(store.storedVerdict, undefined);
  store.isDown = false;
  await advance(mesh, 90);
  mesh.close();
  assert.deepEqual(store.storedVerdict, verdictOf(MoveVerdict.RolledBack));
  assert.ok(store.writes <= 2, `${store.writes} writes`);
});

test('a fleet that restarts as a whole reads the verdict from the store', async () => {
  // Guards against a bad version that gets traffic again because all nodes lost the verdict.
  const store = new FakeStore();
  store.storedVerdict = verdictOf(MoveVerdict.RolledBack);
  const mesh = createMesh(store);
  await advance(mesh, 5);
  const verdicts = mesh.nodes().map(({ view }) => view.statuses()[0]?.verdict);
  mesh.close();
  assert.ok(verdicts.every((verdict) => verdict === MoveVerdict.RolledBack));
  assert.equal(store.writes, 0);
});

test('the verdict done does not replace a stored rollback', async () => {
  // Guards against a late verdict "done" that reverts a rollback.
  const store = new FakeStore();
  store.storedVerdict = verdictOf(MoveVerdict.RolledBack);
  const mesh = createMesh(store);
  mesh.node('dc-1-0').publish(createVerdictEntry(verdictOf(MoveVerdict.Done)));
  await advance(mesh, 15);
  const status = mesh.node('dc-2-1').view.statuses()[0];
  mesh.close();
  assert.equal(status?.verdict, MoveVerdict.RolledBack);
  assert.equal(store.storedVerdict.verdict, MoveVerdict.RolledBack);
});

test('a rollback persists over a restart of the whole fleet', async () => {
  // Guards against a bad version that gets traffic again after a restart. Nodes without a verdict
  // store lose the verdict with the last process that held it.
  const verdictsAfterRestart = async (store?: VerdictStore): Promise<MoveVerdict[]> => {
    const mesh = createMesh(store);
    mesh.node('dc-1-0').publish(createVerdictEntry(verdictOf(MoveVerdict.RolledBack)));
    await advance(mesh, 30);
    mesh.nodes().forEach(({ id }) => mesh.restart(id));
    await advance(mesh, 5);
    const verdicts = mesh.nodes().map(({ view }) => view.statuses()[0]?.verdict);
    mesh.close();
    return [...new Set(verdicts)].filter((verdict) => verdict !== undefined);
  };
  assert.deepEqual(await verdictsAfterRestart(new FakeStore()), [MoveVerdict.RolledBack]);
  assert.deepEqual(await verdictsAfterRestart(), [MoveVerdict.Undecided]);
});
