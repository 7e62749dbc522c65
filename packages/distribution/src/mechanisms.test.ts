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

/** A fault that one mechanism has to bear, with a replacement that does nothing. */
interface Case {
  readonly invariant: string;
  readonly mechanism: string;
  readonly withoutIt: MechanismOverrides;
  /** Runs the fault and says in words what was violated; empty if nothing was. */
  run(fleet: TestFleet): Promise<readonly string[]>;
}

const strictGuard = new StrictSnapshotValidator(fakeSectionChecker);

const guardWith = (changes: Partial<SnapshotValidator>): SnapshotValidator => ({
  isNewer: (current, head) => strictGuard.isNewer(current, head),
  mayReplace: (current, candidate) => strictGuard.mayReplace(current, candidate),
  findMissingSections: (wanted, held) => strictGuard.findMissingSections(wanted, held),
  findDanglingReferences: (snapshot, manifest) =>
    strictGuard.findDanglingReferences(snapshot, manifest),
  ...changes,
});

const spread = new PushAndRepairPolicy();

const spreadWith = (changes: Partial<SpreadPolicy>): SpreadPolicy => ({
  pushFanOut: spread.pushFanOut,
  isRepairEnabled: spread.isRepairEnabled,
  replaces: (known, heard) => spread.replaces(known, heard),
  sendLimit: (fleetSize) => spread.sendLimit(fleetSize),
  ...changes,
});

const noSpread = spreadWith({ pushFanOut: 0, isRepairEnabled: false, sendLimit: () => 0 });

const hastySuspicion: SuspicionPolicy = {
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

const cases: readonly Case[] = [
  {
    invariant: 'no reversion',
    mechanism: 'monotone registers and swaps',
    withoutIt: {
      spreadPolicy: spreadWith({ replaces: (known, heard) => known?.rank !== heard.rank }),
      snapshotValidator: guardWith({
        isNewer: (current, head) => current !== head,
        mayReplace: () => true,
      }),
    },
    run: async (fleet) => {
      const oldHead = fleet.store.head as HeadRecord;
      fleet.store.accept(2, makeSectionBodies(2));
      await fleet.clock.advance(3000);
      // A push of the head before arrives late.
      fleet.node(1).membership.registers.publish(headEntry(oldHead));
      await fleet.clock.advance(1000);
      return findInvariantViolations(fleet).map((violation) => violation.replace(/:.*/, ''));
    },
  },
  {
    invariant: 'whole snapshots',
    mechanism: 'check for missing sections',
    withoutIt: {
      snapshotValidator: guardWith({
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
    withoutIt: { snapshotValidator: guardWith({ findDanglingReferences: () => [] }) },
    run: async (fleet) => {
      const rounds = makeServiceBody('rounds', 2, 'removed-service');
      fleet.store.accept(2, { ...makeSectionBodies(2), rounds });
      await fleet.clock.advance(3000);
      return findInvariantViolations(fleet);
    },
  },
  {
    invariant: 'in force everywhere',
    mechanism: 'push and repair of registers',
    withoutIt: { spreadPolicy: noSpread },
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
        .map(({ self }) => `${self.id} did not get the version`);
    },
  },
  {
    invariant: 'drain known within 3 s',
    mechanism: 'push and rumours',
    withoutIt: { spreadPolicy: noSpread },
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
    invariant: 'one bad link evicts nobody',
    mechanism: 'indirect probes and two observers',
    withoutIt: { suspicionPolicy: hastySuspicion },
    run: async (fleet) => {
      fleet.partition([fleet.node(1)], [fleet.node(2)]);
      await fleet.clock.advance(60_000, 20);
      const evicted = new Set(fleet.nodes.flatMap(({ evictions }) => evictions));
      return [...evicted].sort().map((id) => `${id} was evicted`);
    },
  },
];

for (const { invariant, mechanism, withoutIt, run } of cases) {
  test(`${invariant}: ${mechanism}`, async () => {
    // Guards against the loss of the mechanism; without it the same run has to show the violation.
    const results: Record<string, readonly string[]> = {};
    for (const [label, mechanisms] of [
      ['with it', {}],
      ['without it', withoutIt],
    ] as const) {
      const fleet = new TestFleet(11, mechanisms);
      try {
        await fleet.start(8);
        results[label] = await run(fleet);
      } finally {
        fleet.stop();
      }
    }
    assert.deepEqual(results['with it'], []);
    assert.notDeepEqual(results['without it'], []);
    // Which nodes are hit depends on the random numbers; what is violated does not.
    const kinds = Object.entries(results).map(([label, violations]) => {
      const words = violations.map((violation) => violation.replaceAll(/node-\d+/g, 'a node'));
      return `${label}: ${[...new Set(words)].join('; ') || 'nothing violated'}`;
    });
    matchSnapshot(import.meta.filename, invariant, kinds.join('\n'));
  });
}

test('the quorum needs two observers unless the fleet is tiny', () => {
  // Guards against a fleet of 2 or 3 that can never evict a dead member.
  const policy = new QuorumSuspicionPolicy();
  assert.deepEqual(
    [2, 3, 4, 7700].map((size) => policy.observersNeeded(size)),
    [1, 1, 2, 2],
  );
});
