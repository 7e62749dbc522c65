import { MemberState, type Snapshot } from '@sequoiafield/types';
import type { TestFleet } from '../test-fleet/test-fleet.js';
import type { DistributionFixture } from '../test-fleet/distribution-fixture.js';

/** Service sections of the test configuration; each contains the version that it belongs to. */
const serviceNames = ['rounds', 'settlement'];

const sectionMarks = (snapshot: Snapshot): readonly (number | undefined)[] => [
  (snapshot.mesh as unknown as { mark?: number }).mark,
  ...serviceNames.map((name) => snapshot.services.get(name)?.service.slots),
];

const isWhole = (snapshot: Snapshot): boolean =>
  sectionMarks(snapshot).every((mark) => mark === snapshot.configVersion);

const isDangling = ({ services }: Snapshot): boolean =>
  [...services.values()].some(({ routes }) => routes.some((route) => !services.has(route.service)));

const hasReverted = ({ versions }: DistributionFixture): boolean =>
  versions.some((version, index) => index > 0 && version < (versions[index - 1] ?? 0));

const isBelowMinimumVersion = ({ distribution }: DistributionFixture): boolean =>
  distribution.view.isServing() &&
  distribution.configVersion() < (distribution.minimumVersion() ?? 0);

/** Whether an instance serves a lower version than it served earlier, also across a restart. */
const hasServedVersionReverted = (fleet: TestFleet, node: DistributionFixture): boolean => {
  if (!node.distribution.view.isServing()) return false;
  const served = fleet.servedVersions.get(node.self.id) ?? 0;
  const version = node.distribution.configVersion();
  fleet.servedVersions.set(node.self.id, Math.max(served, version));
  return version < served;
};

/** Describes the violations of the invariants that must hold at all times. */
export const findInvariantViolations = (fleet: TestFleet): readonly string[] =>
  fleet.nodes.flatMap((node) => {
    const { id } = node.self;
    return [
      ...(hasReverted(node) ? [`${id} reverted: ${node.versions.join(', ')}`] : []),
      ...(node.snapshots.every(isWhole) ? [] : [`${id} applied a version in part`]),
      ...(node.snapshots.some(isDangling) ? [`${id} holds a dangling route`] : []),
      ...(hasServedVersionReverted(fleet, node)
        ? [`${id} serves an older version than before its restart`]
        : []),
      ...(isBelowMinimumVersion(node) ? [`${id} serves below its minimum version`] : []),
    ];
  });

/** Describes the nodes that lack the version, do not serve, or hold wrong member states. */
export const findUnrecoveredNodes = (fleet: TestFleet, version: number): readonly string[] =>
  fleet.nodes.flatMap((node) => {
    const { id } = node.self;
    const wrongStates = fleet.nodes.flatMap(({ self }) => {
      const row = node.membership.view.get(self.id);
      const expected = fleet.drained.has(self.id) ? MemberState.Draining : MemberState.Alive;
      const isExpected = row?.state === expected && row.incarnation === self.incarnation;
      return isExpected ? [] : [`${id} holds ${self.id} as ${MemberState[row?.state ?? -1]}`];
    });
    const { distribution } = node;
    return [
      ...(distribution.configVersion() === version ? [] : [`${id} is on another version`]),
      ...(distribution.view.isServing() ? [] : [`${id} does not serve`]),
      ...wrongStates,
    ];
  });
