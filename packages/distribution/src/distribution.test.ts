import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeSectionBodies, TestFleet } from './test-fleet/test-fleet.js';

test('nodes whose seeds no longer exist find each other by the seeds in the store', async () => {
  // Guards against a fleet that never forms after a cold start at new addresses.
  const fleet = new TestFleet(2);
  try {
    const removedSeed = { id: 'removed-seed', address: '10.9.9.9', gossipPort: 7000 };
    for (const dataCentre of ['dc-0', 'dc-1', 'dc-2']) {
      const record = { dataCentre, refreshedAtUnixMs: Date.now(), seeds: [removedSeed] };
      fleet.store.seeds.set(dataCentre, { record, revision: 1 });
    }
    fleet.store.accept(1, makeSectionBodies(1));
    for (let index = 1; index <= 6; index++) await fleet.startNode(index, [removedSeed]);
    await fleet.clock.advance(180_000, 50);
    assert.deepEqual(
      fleet.nodes.map((node) => node.membership.view.fleetSize()),
      fleet.nodes.map(() => 6),
    );
    assert.ok(fleet.nodes.every((node) => node.distribution.view.isServing()));
  } finally {
    fleet.stop();
  }
});

test('an accepted version becomes active on every node within seconds', async () => {
  // Guards against nodes that stay on an older version (invariant 12).
  const fleet = new TestFleet(1);
  try {
    await fleet.start(7);
    assert.deepEqual(
      fleet.nodes.map((node) => node.membership.view.fleetSize()),
      fleet.nodes.map(() => 7),
    );
    assert.ok(fleet.nodes.every((node) => node.distribution.view.isServing()));
    fleet.store.accept(2, makeSectionBodies(2));
    await fleet.clock.advance(2000);
    assert.deepEqual(
      fleet.nodes.map((node) => node.versions),
      fleet.nodes.map(() => [1, 2]),
    );
  } finally {
    fleet.stop();
  }
});
