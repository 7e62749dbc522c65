import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { wallNowUnixMs } from '@sequoiafield/tables';
import { matchSnapshot, pauseClock, type PausedClock } from '@sequoiafield/test-kit';
import { DataCentreState, MemberState, RefusalReason } from '@sequoiafield/types';
import type { RoutingMechanisms } from './index.js';
import {
  createSnapshot,
  FakeFleet,
  successfulAnswer,
  slotsPerMember,
} from './test-support/fake-fleet.js';
import {
  noEjector,
  noFilter,
  noWeights,
  reportOnlyLoads,
} from './test-support/disabled-mechanisms.js';

interface Fault {
  readonly name: string;
  readonly arrange: (fleet: FakeFleet) => void;
  /** Counts the calls or the load over what the fault allows; 0 when nothing is violated. */
  readonly countViolations: (fleet: FakeFleet) => number;
  readonly without: Partial<RoutingMechanisms>;
}

const excess = (count: number, allowed: number): number => Math.max(0, count - allowed);

const faults: readonly Fault[] = [
  {
    name: 'data centre evacuated',
    arrange: (fleet) =>
      fleet.setSnapshot(createSnapshot({ near: { state: DataCentreState.Evacuated } })),
    countViolations: (fleet) => fleet.callsAt('near'),
    without: { weights: noWeights },
  },
  {
    name: 'data centre restored for under 3 s of a ramp of 30 s',
    arrange: (fleet) =>
      fleet.setSnapshot(createSnapshot({ near: { changedAtUnixMs: wallNowUnixMs() } })),
    // Its full share would be 300 calls; the ramp allows 15 on average.
    countViolations: (fleet) => excess(fleet.callsAt('near'), 40),
    without: { weights: noWeights },
  },
  ...[MemberState.Joining, MemberState.Draining, MemberState.Left, MemberState.Dead].map(
    (state): Fault => ({
      name: `member is ${MemberState[state]}`,
      arrange: (fleet) => fleet.setState('near-1', state),
      countViolations: (fleet) => fleet.callsAt('near-1'),
      without: { filter: noFilter },
    }),
  ),
  ...(
    [
      ['refuses as draining before gossip reports it', RefusalReason.Draining],
      ['refuses connections', RefusalReason.ConnectFailed],
      ['loses its links', RefusalReason.LinkLost],
    ] as const
  ).map(([name, refusalReason]): Fault => ({
    name: `member ${name}`,
    arrange: (fleet) =>
      fleet.answers.set('near-1', { ...successfulAnswer, refusalReason, hasFailed: true }),
    // One call, and one trial per back-off of about 1 s and 2 s.
    countViolations: (fleet) => excess(fleet.callsAt('near-1'), 4),
    without: { ejector: noEjector },
  })),
  {
    name: 'member fails every call',
    arrange: (fleet) => fleet.answers.set('near-1', { ...successfulAnswer, hasFailed: true }),
    countViolations: (fleet) => excess(fleet.callsAt('near-1'), 6),
    without: { ejector: noEjector },
  },
  {
    name: 'member does not answer',
    arrange: (fleet) => {
      fleet.answers.set('near-1', { hasFailed: true, latencyMs: 200 });
      fleet.serviceMs.set('near-1', 200);
    },
    // Calls in flight when the first ones time out, and the trials.
    countViolations: (fleet) => excess(fleet.callsAt('near-1'), 5),
    without: { ejector: noEjector },
  },
  {
    name: 'member reports no load but is slow',
    arrange: (fleet) => fleet.serviceMs.set('near-1', 1000),
    countViolations: (fleet) => excess(fleet.maxRunning.get('near-1') ?? 0, slotsPerMember),
    without: { loads: reportOnlyLoads },
  },
];

let clock: PausedClock;
beforeEach(() => {
  clock = pauseClock();
});
afterEach(() => clock.resume());

faults.forEach((fault) => {
  // Guards against calls that must not be sent under the fault. The second run, without the mechanism,
  // must show violations: so the mechanism is what prevents them.
  test(`routing prevents violations under the fault: ${fault.name}`, async () => {
    const observe = async (mechanisms: Partial<RoutingMechanisms>): Promise<FakeFleet> => {
      const fleet = new FakeFleet();
      fault.arrange(fleet);
      await fleet.run(clock, fleet.create(mechanisms), 3000);
      return fleet;
    };
    const fleet = await observe({});
    const unguarded = await observe(fault.without);
    matchSnapshot(import.meta.filename, fault.name, {
      calls: Object.fromEntries([...fleet.calls].sort()),
      violations: fault.countViolations(fleet),
      violationsWithout: fault.countViolations(unguarded),
    });
    assert.equal(fault.countViolations(fleet), 0);
    assert.ok(fault.countViolations(unguarded) > 0, 'no violations without the mechanism');
  });
});
