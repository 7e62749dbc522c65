import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LinkRequestKind } from '@sequoiafield/types';
import { MembershipFleet } from './test-support/membership-fleet.js';

const nodesCount = 14;
const fleetsCount = 60;
/** Time in which a fleet joins, as in `MembershipFleet.start`. */
const joinedWithinMs = 10_000;
const stepMs = 100;
/** Time for which a node keeps the row of a member that left. */
const leftRetentionMs = 600_000;
/** Shortest interval of the regular exchanges with a random member. */
const exchangeIntervalMinMs = 15_000;

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

test('a row that some members keep longer than others causes few exchanges', async () => {
  // Guards against an exchange every 3 s for a row that cannot be merged, since it expired here.
  const fleet = new MembershipFleet();
  await fleet.start(4);
  const left = fleet.nodes[3]!;
  left.membership.announceLeft();
  await fleet.clock.advance(1000, 20);
  fleet.kill(left);
  await fleet.clock.advance(leftRetentionMs / 2, stepMs);
  // It keeps the row from its start on, which is longer than the others do.
  await fleet.startNode(5);
  await fleet.clock.advance(leftRetentionMs / 2, stepMs);
  let exchangesCount = 0;
  fleet.network.onRequest = (fromId, kind) => {
    if (fromId === 'node-001' && kind === LinkRequestKind.MemberDigests) exchangesCount += 1;
  };
  await fleet.clock.advance(leftRetentionMs / 2, stepMs);
  fleet.stop();
  const exchangesMax = leftRetentionMs / 2 / exchangeIntervalMinMs;
  assert.ok(exchangesCount <= exchangesMax, `${exchangesCount} exchanges`);
});
