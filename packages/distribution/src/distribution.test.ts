import assert from 'node:assert/strict';
import { test } from 'node:test';
import { bodiesOf, TestFleet } from './test-fleet/test-fleet.js';

test('an accepted version comes into force on every node within seconds', async () => {
  // Guards against nodes that stay on an older version (invariant 12).
  const fleet = new TestFleet(1);
  try {
    await fleet.start(7);
    assert.deepEqual(
      fleet.nodes.map((node) => node.membership.view.fleetSize()),
      fleet.nodes.map(() => 7),
    );
    assert.ok(fleet.nodes.every((node) => node.distribution.view.isServing()));
    fleet.store.accept(2, bodiesOf(2));
    await fleet.clock.advance(2000);
    assert.deepEqual(
      fleet.nodes.map((node) => node.versions),
      fleet.nodes.map(() => [1, 2]),
    );
  } finally {
    fleet.stop();
  }
});
