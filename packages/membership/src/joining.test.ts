import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import {
  membershipNodeAddress,
  countKnownStates,
  MembershipFleet,
  type FleetNode,
} from './test-support/membership-fleet.js';

let fleet: MembershipFleet;

beforeEach(() => {
  fleet = new MembershipFleet();
});

afterEach(() => fleet.stop());

test('a node joins as soon as a seed answers', async () => {
  // Guards against a restarted node that waits a fixed time although its seeds answer immediately.
  await fleet.start(8);
  const joinedAfterMs: number[] = [];
  for (let index = 9; index <= 14; index++) {
    const { membership } = await fleet.startNode(index);
    let afterMs = 0;
    while (membership.view.fleetSize() < index && afterMs < 2000) {
      await fleet.clock.advance(10);
      afterMs += 10;
    }
    joinedAfterMs.push(afterMs);
  }
  // The limit covers the join jitter of up to 500 ms, a tick of 100 ms, and the round trips of the ping
  // and the pull.
  assert.ok(Math.max(...joinedAfterMs) <= 700, `joined after ${joinedAfterMs.join(' ')} ms`);
});

test('a node that restarts without a store learns its peers from their probes', async () => {
  // Guards against a rolling restart during an outage of the store after which no node knows any peer:
  // a restarted node has no seeds and learns its peers only if they probe it.
  await fleet.start(8);
  const others = fleet.nodes.slice(0, 7);
  const formerNode = fleet.nodes[7] as FleetNode;
  formerNode.membership.announceLeft();
  await fleet.clock.advance(200, 20);
  fleet.kill(formerNode);
  await fleet.clock.advance(1000, 20);
  const { membership, self } = await fleet.startNode(8, { hasSeeds: false });
  await fleet.clock.advance(5000, 20);
  assert.equal(membership.view.fleetSize(), 8);
  assert.deepEqual(countKnownStates(self.id, others), { Alive: 7 });
});

test('a process whose clock is behind that of its former incarnation becomes known', async () => {
  // Guards against a fleet that ignores a member restarted on a machine whose clock is behind, and
  // against calls that name the former incarnation: only the announced incarnation may be raised.
  await fleet.start(8);
  const formerNode = fleet.nodes[7] as FleetNode;
  const others = fleet.nodes.slice(0, 7);
  for (const [restartIndex, secondsDown] of [0, 12].entries()) {
    fleet.kill(fleet.nodes[7] as FleetNode);
    await fleet.clock.advance(secondsDown * 1000, 20);
    const incarnation = formerNode.self.incarnation - 3_600_000 * (restartIndex + 1);
    const changes = {
      id: formerNode.self.id,
      address: membershipNodeAddress(20 + restartIndex),
      incarnation,
    };
    await fleet.startNode(8, changes);
    await fleet.clock.advance(10_000, 20);
    assert.deepEqual(countKnownStates(formerNode.self.id, others), { Alive: 7 });
    for (const { membership } of others) {
      const row = membership.view.get(formerNode.self.id);
      assert.equal(row?.incarnation, incarnation);
      assert.equal(row.address, changes.address);
    }
    assert.equal((fleet.nodes[7] as FleetNode).membership.view.fleetSize(), 8);
  }
});
