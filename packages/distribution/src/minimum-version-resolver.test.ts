import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SeededRandom } from '@sequoiafield/tables';
import { matchSnapshot } from '@sequoiafield/test-kit';
import fc from 'fast-check';
import { TestFleet, makeSectionBodies } from './test-fleet/test-fleet.js';
import { burstDelayMs, pollDelayMs } from './timing.js';

test('a restarted node serves only after its minimum version is known', async () => {
  // Guards against a restarted node serving an older version than it or its peers served before.
  const results: Record<string, string> = {};
  const run = async (name: string, reachable: readonly number[], isStoreDown: boolean) => {
    const fleet = new TestFleet(5);
    try {
      await fleet.start(7);
      fleet.store.accept(2, makeSectionBodies(2));
      await fleet.clock.advance(3000);
      fleet.node(7).kill();
      fleet.store.isDown = isStoreDown;
      const unreachable = fleet.nodes.filter(
        (node, index) => index < 6 && !reachable.includes(index + 1),
      );
      fleet.partition([fleet.node(7)], unreachable);
      const node = await fleet.startNode(7);
      await fleet.clock.advance(15_000, 20);
      const minimumVersion = node.distribution.minimumVersion() ?? 'unknown';
      const isServing = node.distribution.view.isServing() ? 'serves' : 'does not serve';
      results[name] = `minimum version ${minimumVersion}, ${isServing}`;
    } finally {
      fleet.stop();
    }
  };
  const all = [1, 2, 3, 4, 5, 6];
  await run('store up', all, false);
  await run('store up, no peer', [], false);
  await run('store down, all peers', all, true);
  await run('store down, 3 peers in 3 data centres', [1, 2, 3], true);
  await run('store down, 2 peers in 1 data centre', [3, 6], true);
  await run('store down, 2 peers in 2 data centres', [1, 2], true);
  await run('store down, no peer', [], true);
  matchSnapshot(import.meta.filename, 'minimum version of a restarted node', results);
});

test('a paused node does not serve until an exchange after the pause has refreshed its view', async () => {
  // Guards against routing calls by a view from before a pause.
  const fleet = new TestFleet(6);
  try {
    await fleet.start(5);
    const { distribution } = fleet.node(3);
    fleet.node(3).freeze();
    await fleet.clock.advance(2500);
    assert.equal(distribution.view.isServing(), false, 'before the first tick after the pause');
    fleet.store.isDown = true;
    fleet.node(3).thaw();
    assert.equal(distribution.view.isServing(), false, 'after the first tick');
    await fleet.clock.advance(2500);
    assert.equal(distribution.view.isServing(), true, 'after a gossip exchange');
  } finally {
    fleet.stop();
  }
});

test('sections come from peers and the store is read only a few times', async () => {
  // Guards against a store load that grows with the fleet.
  const fleet = new TestFleet(8);
  try {
    await fleet.start(12);
    const accepts = 5;
    for (let version = 2; version < 2 + accepts; version++) {
      const before = fleet.nodes.map(({ distribution }) => distribution.counters.fromStore);
      fleet.store.accept(version, makeSectionBodies(version));
      await fleet.clock.advance(3000);
      const reads = fleet.nodes.map(
        ({ distribution }, index) => distribution.counters.fromStore - (before[index] ?? 0),
      );
      // A node that polled the new head reads one manifest and three sections; the others read nothing.
      assert.ok(
        reads.every((count) => count === 0 || count === 4),
        String(reads),
      );
      // Only nodes that polled before the first push reached them read from the store.
      const readers = reads.filter((count) => count > 0).length;
      assert.ok(readers <= 3, `${readers} readers of version ${version}`);
    }
    assert.ok(
      fleet.nodes.every(({ distribution }) => distribution.configVersion() === 1 + accepts),
    );
  } finally {
    fleet.stop();
  }
});

test('head reads of the whole fleet stay near 20 per second', () => {
  // Guards against a store load that grows with the fleet, also while the store is down.
  const random = new SeededRandom(9);
  fc.assert(
    fc.property(
      fc.integer({ min: 10, max: 7700 }),
      fc.integer({ min: 0, max: 9 }),
      (size, failures) => {
        const draws = 400;
        let totalMs = 0;
        for (let draw = 0; draw < draws; draw++) {
          const delayMs = pollDelayMs(size, failures, random);
          assert.ok(delayMs >= 500);
          totalMs += delayMs;
        }
        const readsPerS = (size * draws * 1000) / totalMs;
        assert.ok(
          readsPerS <= 24,
          `${readsPerS} reads/s of ${size} nodes after ${failures} failures`,
        );
        assert.ok(burstDelayMs(size, random) <= (size / 200) * 1000);
      },
    ),
    { seed: 20261204, numRuns: 100 },
  );
});
