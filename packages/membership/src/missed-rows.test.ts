import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MembershipFleet } from './test-support/membership-fleet.js';

const nodesCount = 14;
const fleetsCount = 60;
/** Time in which a fleet joins, as in `MembershipFleet.start`. */
const joinedWithinMs = 10_000;
const stepMs = 100;

/** Starts all nodes at the same moment; returns the time until each knows all others. */
const measureJoinMs = async (seed: number, lossShare: number): Promise<number> => {
  const fleet = new MembershipFleet(seed);
  fleet.network.faults.lossShare = lossShare;
  for (let index = 1; index <= nodesCount; index++) await fleet.startNode(index);
  const isComplete = (): boolean =>
    fleet.nodes.every(({ membership }) => membership.view.fleetSize() === nodesCount);
  let passedMs = 0;
  while (!isComplete() && passedMs < joinedWithinMs * 5) {
    await fleet.clock.advance(stepMs, 20);
    passedMs += stepMs;
  }
  fleet.stop();
  return passedMs;
};

for (const lossPercent of [0, 20]) {
  test(`nodes that start at once know each other in time with ${lossPercent} % loss`, async () => {
    // Guards against a node that misses the row of a member and sends it no call for half a minute.
    const joinedAfterMs: number[] = [];
    for (let seed = 1; seed <= fleetsCount; seed++) {
      joinedAfterMs.push(await measureJoinMs(seed, lossPercent / 100));
    }
    const late = joinedAfterMs.filter((afterMs) => afterMs > joinedWithinMs);
    assert.deepEqual(late, [], `${late.length} of ${fleetsCount} fleets took longer`);
  });
}
