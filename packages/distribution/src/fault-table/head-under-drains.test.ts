import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PushAndRepairPolicy } from '@sequoiafield/membership';
import { RegisterKind, type HeadRecord } from '@sequoiafield/types';
import { makeSectionBodies, TestFleet } from '../test-fleet/test-fleet.js';
import type { MechanismOverrides } from '../test-fleet/distribution-fixture.js';

const fleetSize = 30;
const repeatedSeed = process.env.HEAD_SEED;
/** Seeds with which five pushes without a repair left out a node, each on some version of the code. */
const provokingSeeds = [32, 44, 66, 87, 93, 129, 147, 164];
const seeds = repeatedSeed
  ? [Number(repeatedSeed)]
  : [...Array.from({ length: 16 }, (_, index) => index + 1), ...provokingSeeds];
/** Time within which a head must reach every running node. */
const reachMaxMs = 1000;

/** Action of the odd-numbered half of the fleet just before node 2 reads the head. */
enum HalfFleetAction {
  Runs = 'keeps running',
  Drains = 'drains',
  IsKilledDraining = 'drains and is killed 300 ms later',
}

/** Returns the running nodes on which the head is not active in time. */
const findLateNodes = async (
  seed: number,
  half: HalfFleetAction,
  mechanisms: MechanismOverrides = {},
): Promise<readonly string[]> => {
  const fleet = new TestFleet(seed, mechanisms);
  try {
    await fleet.start(fleetSize);
    await fleet.clock.advance(4000);
    const [odd, even] = [1, 0].map((rest) => fleet.nodes.filter((_, at) => (at + 1) % 2 === rest));
    if (half !== HalfFleetAction.Runs) odd?.forEach((node) => node.membership.announceDraining());
    if (half === HalfFleetAction.IsKilledDraining) {
      await fleet.clock.advance(300);
      odd?.forEach((node) => node.kill());
    }
    fleet.store.accept(2, makeSectionBodies(2));
    const body = fleet.store.head as HeadRecord;
    const { registers } = fleet.node(2).membership;
    registers.publish({ kind: RegisterKind.Head, key: 'head', rank: 2, body });
    await fleet.clock.advance(reachMaxMs);
    return [...(even ?? []), ...(half === HalfFleetAction.IsKilledDraining ? [] : (odd ?? []))]
      .filter(({ distribution }) => distribution.configVersion() !== 2)
      .map(({ self }) => `seed ${seed}: ${self.id}`);
  } finally {
    fleet.stop();
  }
};

const findLateNodesOverSeeds = async (
  half: HalfFleetAction,
  mechanisms?: MechanismOverrides,
): Promise<string[]> => {
  const lateNodes: string[] = [];
  for (const seed of seeds) {
    lateNodes.push(...(await findLateNodes(seed, half, mechanisms)));
  }
  return lateNodes;
};

for (const half of Object.values(HalfFleetAction)) {
  test(`a head reaches every node within 1 s while half of the fleet ${half}`, async () => {
    // Guards against a node that no push reached and that receives the head only with the next probe.
    const lateNodes = await findLateNodesOverSeeds(half);
    const command = 'HEAD_SEED=SEED node scripts/run-tests.js head-under-drains';
    assert.deepEqual(lateNodes, [], `repeat one seed with ${command}`);
  });
}

test(
  'without repair some nodes miss a head within 1 s',
  { skip: repeatedSeed !== undefined },
  async () => {
    // Guards against seeds that do not provoke the fault, with which the tests above prove nothing.
    const push = new PushAndRepairPolicy();
    const spreadPolicy = {
      pushFanOut: push.pushFanOut,
      isRepairEnabled: false,
      replaces: push.replaces.bind(push),
      sendLimit: push.sendLimit.bind(push),
    };
    assert.notDeepEqual(await findLateNodesOverSeeds(HalfFleetAction.Drains, { spreadPolicy }), []);
  },
);
