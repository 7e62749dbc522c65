import { MemberState, type Snapshot } from '@sequoiafield/types';
import type { TestFleet } from '../test-fleet/test-fleet.js';
import type { DistributionFixture } from '../test-fleet/distribution-fixture.js';

/** Sections of the test configuration; each carries the version that it belongs to. */
const serviceNames = ['rounds', 'settlement'];

const marksOf = (snapshot: Snapshot): readonly (number | undefined)[] => [
  (snapshot.mesh as unknown as { mark?: number }).mark,
  ...serviceNames.map((name) => snapshot.services.get(name)?.service.slots),
];

const isWhole = (snapshot: Snapshot): boolean =>
  marksOf(snapshot).every((mark) => mark === snapshot.configVersion);

const isDangling = ({ services }: Snapshot): boolean =>
  [...services.values()].some(({ routes }) => routes.some((route) => !services.has(route.service)));

const hasReverted = ({ versions }: DistributionFixture): boolean =>
  versions.some((version, index) => index > 0 && version < (versions[index - 1] ?? 0));

const isBelowFloor = ({ distribution }: DistributionFixture): boolean =>
  distribution.view.isServing() &&
  distribution.configVersion() < (distribution.minimumVersion() ?? 0);

/** Whether an instance serves less than it served before, also over a restart. */
const hasGoneBack = (fleet: TestFleet, node: DistributionFixture): boolean => {
  if (!node.distribution.view.isServing()) return false;
  const served = fleet.servedVersions.get(node.self.id) ?? 0;
  const version = node.distribution.configVersion();
  fleet.servedVersions.set(node.self.id, Math.max(served, version));
  return version < served;
};

/** Violations that may not be seen at any moment, in words. */
export const findInvariantViolations = (fleet: TestFleet): readonly string[] =>
  fleet.nodes.flatMap((node) => {
    const { id } = node.self;
    return [
      ...(hasReverted(node) ? [`${id} reverted: ${node.versions.join(', ')}`] : []),
      ...(node.snapshots.every(isWhole) ? [] : [`${id} applied a version in part`]),
      ...(node.snapshots.some(isDangling) ? [`${id} holds a dangling route`] : []),
      ...(hasGoneBack(fleet, node) ? [`${id} serves less than before its restart`] : []),
      ...(isBelowFloor(node) ? [`${id} serves below its floor`] : []),
    ];
  });

/** Nodes that are not on a version, not serving, or not in agreement about who is alive. */
export const findUnsettledNodes = (fleet: TestFleet, version: number): readonly string[] =>
  fleet.nodes.flatMap((node) => {
    const { id } = node.self;
    const wrong = fleet.nodes.flatMap(({ self }) => {
      const row = node.membership.view.get(self.id);
      const expected = fleet.drained.has(self.id) ? MemberState.Draining : MemberState.Alive;
      const isRight = row?.state === expected && row.incarnation === self.incarnation;
      return isRight ? [] : [`${id} believes ${self.id} is ${MemberState[row?.state ?? -1]}`];
    });
    const { distribution } = node;
    return [
      ...(distribution.configVersion() === version ? [] : [`${id} is on another version`]),
      ...(distribution.view.isServing() ? [] : [`${id} does not serve`]),
      ...wrong,
    ];
  });
