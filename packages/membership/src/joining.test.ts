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

test('a node joins as soon as a seed has answered', async () => {
  // Guards against a restarted node that waits a fixed time although its seeds answered at once.
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
  // Up to 500 ms spread a mass restart; a tick of 100 ms and the ways of greeting and pull come on top.
  assert.ok(Math.max(...joinedAfterMs) <= 700, `joined after ${joinedAfterMs.join(' ')} ms`);
});

test('a node that restarts without a store learns of its peers from their probes', async () => {
  // Guards against a rolling restart during an outage of the store, after which no node knows another.
  await fleet.start(8);
  const others = fleet.nodes.slice(0, 7);
  const former = fleet.nodes[7] as FleetNode;
  former.membership.announceLeft();
  await fleet.clock.advance(200, 20);
  fleet.kill(former);
  await fleet.clock.advance(1000, 20);
  const { membership, self } = await fleet.startNode(8, { hasSeeds: false });
  await fleet.clock.advance(5000, 20);
  assert.equal(membership.view.fleetSize(), 8);
  assert.deepEqual(countKnownStates(self.id, others), { Alive: 7 });
});

test('a process whose clock is behind that of its former life becomes known', async () => {
  // Guards against a member on a new machine with a slower clock that the fleet ignores, and against
  // calls that name the former life's incarnation: only the announcement may be raised.
  await fleet.start(8);
  const former = fleet.nodes[7] as FleetNode;
  const others = fleet.nodes.slice(0, 7);
  for (const [turn, secondsDown] of [0, 12].entries()) {
    fleet.kill(fleet.nodes[7] as FleetNode);
    await fleet.clock.advance(secondsDown * 1000, 20);
    const incarnation = former.self.incarnation - 3_600_000 * (turn + 1);
    const changes = { id: former.self.id, address: membershipNodeAddress(20 + turn), incarnation };
    await fleet.startNode(8, changes);
    await fleet.clock.advance(10_000, 20);
    assert.deepEqual(countKnownStates(former.self.id, others), { Alive: 7 });
    for (const { membership } of others) {
      const row = membership.view.get(former.self.id);
      assert.equal(row?.incarnation, incarnation);
      assert.equal(row.address, changes.address);
    }
    assert.equal((fleet.nodes[7] as FleetNode).membership.view.fleetSize(), 8);
  }
});
