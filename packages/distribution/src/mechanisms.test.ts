import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  PushAndRepairPolicy,
  QuorumSuspicionPolicy,
  type SpreadPolicy,
  type SuspicionPolicy,
} from '@sequoiafield/membership';
import { matchSnapshot } from '@sequoiafield/test-kit';
import { MemberState, RegisterKind, type HeadRecord } from '@sequoiafield/types';
import { findInvariantViolations } from './fault-table/invariants.js';
import type { SnapshotValidator } from './snapshot-validator.js';
import { StrictSnapshotValidator } from './strict-snapshot-validator.js';
import { fakeSectionChecker, makeServiceBody } from './test-fleet/fake-configuration-store.js';
import { makeSectionBodies, TestFleet } from './test-fleet/test-fleet.js';
import type { MechanismOverrides } from './test-fleet/distribution-fixture.js';

/** A fault that one mechanism must handle, and replacements that disable the mechanism. */
interface MechanismCase {
  readonly invariant: string;
  readonly mechanism: string;
  readonly disablingOverrides: MechanismOverrides;
  /** Runs the fault and returns a description of each violation. */
  run(fleet: TestFleet): Promise<readonly string[]>;
}

const strictValidator = new StrictSnapshotValidator(fakeSectionChecker);

const createValidatorWith = (changes: Partial<SnapshotValidator>): SnapshotValidator => ({
  isNewer: (current, head) => strictValidator.isNewer(current, head),
  mayReplace: (current, candidate) => strictValidator.mayReplace(current, candidate),
  findMissingSections: (wanted, held) => strictValidator.findMissingSections(wanted, held),
  findDanglingReferences: (snapshot, manifest) =>
    strictValidator.findDanglingReferences(snapshot, manifest),
  ...changes,
});

const defaultSpreadPolicy = new PushAndRepairPolicy();

const createSpreadPolicyWith = (changes: Partial<SpreadPolicy>): SpreadPolicy => ({
  pushFanOut: defaultSpreadPolicy.pushFanOut,
  isRepairEnabled: defaultSpreadPolicy.isRepairEnabled,
  replaces: (known, received) => defaultSpreadPolicy.replaces(known, received),
  sendLimit: (fleetSize) => defaultSpreadPolicy.sendLimit(fleetSize),
  ...changes,
});

const noSpread = createSpreadPolicyWith({
  pushFanOut: 0,
  isRepairEnabled: false,
  sendLimit: () => 0,
});

const singleObserverSuspicion: SuspicionPolicy = {
  indirectProbes: 0,
  suspicionTimeoutMs: 0,
  observersNeeded: () => 1,
};

const headEntry = (
  head: HeadRecord,
): { kind: RegisterKind; key: string; rank: number; body: unknown } => ({
  kind: RegisterKind.Head,
  key: 'head',
  rank: head.configVersion,
  body: head,
});

const cases: readonly MechanismCase[] = [
  {
    invariant: 'no reversion',
    mechanism: 'monotone registers and swaps',
    disablingOverrides: {
      spreadPolicy: createSpreadPolicyWith({
        replaces: (known, received) => known?.rank !== received.rank,
      }),
      snapshotValidator: createValidatorWith({
        isNewer: (current, head) => current !== head,
        mayReplace: () => true,
      }),
    },
    run: async (fleet) => {
      const oldHead = fleet.store.head as HeadRecord;
      fleet.store.accept(2, makeSectionBodies(2));
      await fleet.clock.advance(3000);
      // A push of the previous head arrives late.
      fleet.node(1).membership.registers.publish(headEntry(oldHead));
      await fleet.clock.advance(1000);
      return findInvariantViolations(fleet).map((violation) => violation.replace(/:.*/, ''));
    },
  },
  {
    invariant: 'whole snapshots',
    mechanism: 'check for missing sections',
    disablingOverrides: {
      snapshotValidator: createValidatorWith({
        findMissingSections: () => [],
        findDanglingReferences: () => [],
      }),
    },
    run: async (fleet) => {
      fleet.store.accept(2, makeSectionBodies(2));
      fleet.store.sections.delete(fakeSectionChecker.digestOf(makeSectionBodies(2).rounds ?? ''));
      await fleet.clock.advance(3000);
      return findInvariantViolations(fleet);
    },
  },
  {
    invariant: 'no dangling route',
    mechanism: 'reference check before the swap',
    disablingOverrides: {
      snapshotValidator: createValidatorWith({ findDanglingReferences: () => [] }),
    },
    run: async (fleet) => {
      const rounds = makeServiceBody('rounds', 2, 'removed-service');
      fleet.store.accept(2, { ...makeSectionBodies(2), rounds });
      await fleet.clock.advance(3000);
      return findInvariantViolations(fleet);
    },
  },
  {
    invariant: 'active everywhere',
    mechanism: 'push and repair of registers',
    disablingOverrides: { spreadPolicy: noSpread },
    run: async (fleet) => {
      const { store } = fleet;
      Object.assign(fleet, {
        onSnapshotActivated: () => {
          store.isDown = true;
        },
      });
      store.accept(2, makeSectionBodies(2));
      await fleet.clock.advance(8000);
      return fleet.nodes
        .filter(({ distribution }) => distribution.configVersion() !== 2)
        .map(({ self }) => `${self.id} did not receive the version`);
    },
  },
  {
    invariant: 'drain known within 3 s',
    mechanism: 'push and rumours',
    disablingOverrides: { spreadPolicy: noSpread },
    run: async (fleet) => {
      const draining = fleet.node(1);
      draining.membership.announceDraining();
      await fleet.clock.advance(3000);
      return fleet.nodes
        .map((node) => ({ ...node, row: node.membership.view.get(draining.self.id) }))
        .filter(({ row }) => row?.state !== MemberState.Draining)
        .map(({ self }) => `${self.id} still sends work to a draining member`);
    },
  },
  {
    invariant: 'one bad link evicts no member',
    mechanism: 'indirect probes and two observers',
    disablingOverrides: { suspicionPolicy: singleObserverSuspicion },
    run: async (fleet) => {
      fleet.partition([fleet.node(1)], [fleet.node(2)]);
      await fleet.clock.advance(60_000, 20);
      const evicted = new Set(fleet.nodes.flatMap(({ evictions }) => evictions));
      return [...evicted].sort().map((id) => `${id} was evicted`);
    },
  },
];

for (const { invariant, mechanism, disablingOverrides, run } of cases) {
  test(`the invariant "${invariant}" depends on: ${mechanism}`, async () => {
    // Guards against the loss of the mechanism; the same run without it must show the violation.
    const results: Record<string, readonly string[]> = {};
    for (const [label, mechanisms] of [
      ['with the mechanism', {}],
      ['without the mechanism', disablingOverrides],
    ] as const) {
      const fleet = new TestFleet(11, mechanisms);
      try {
        await fleet.start(8);
        results[label] = await run(fleet);
      } finally {
        fleet.stop();
      }
    }
    assert.deepEqual(results['with the mechanism'], []);
    assert.notDeepEqual(results['without the mechanism'], []);
    // Which nodes are affected depends on the random numbers; the kind of violation does not.
    const kinds = Object.entries(results).map(([label, violations]) => {
      const descriptions = violations.map((violation) =>
        violation.replaceAll(/node-\d+/g, 'a node'),
      );
      return `${label}: ${[...new Set(descriptions)].join('; ') || 'nothing violated'}`;
    });
    matchSnapshot(import.meta.filename, invariant, kinds.join('\n'));
  });
}

test('a suspicion needs two observers in a fleet of at least four nodes', () => {
  // Guards against a fleet of 2 or 3 nodes that can never evict a dead member.
  const policy = new QuorumSuspicionPolicy();
  assert.deepEqual(
    [2, 3, 4, 7700].map((size) => policy.observersNeeded(size)),
    [1, 1, 2, 2],
  );
});
