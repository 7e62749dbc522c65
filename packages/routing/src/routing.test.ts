import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { wallNowUnixMs } from '@sequoiafield/tables';
import { matchSnapshot, pauseClock, type PausedClock } from '@sequoiafield/test-kit';
import { DataCentreState, MemberState, RefusalReason } from '@sequoiafield/types';
import type { RoutingMechanisms } from './index.js';
import {
  createSnapshot,
  FakeFleet,
  goodAnswer,
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
  /** Calls or load that break the promise; 0 when it is kept. */
  readonly countViolations: (fleet: FakeFleet) => number;
  readonly without: Partial<RoutingMechanisms>;
}

const excess = (count: number, allowed: number): number => Math.max(0, count - allowed);

const faults: readonly Fault[] = [
  {
    name: 'data centre out',
    arrange: (fleet) =>
      fleet.setSnapshot(createSnapshot({ near: { state: DataCentreState.Evacuated } })),
    countViolations: (fleet) => fleet.callsAt('near'),
    without: { weights: noWeights },
  },
  {
    name: 'data centre back for under 3 s of a ramp of 30 s',
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
      ['refuses as draining before gossip tells', RefusalReason.Draining],
      ['refuses connections', RefusalReason.ConnectFailed],
      ['loses its links', RefusalReason.LinkLost],
    ] as const
  ).map(([name, refusalReason]): Fault => ({
    name: `member ${name}`,
    arrange: (fleet) =>
      fleet.answers.set('near-1', { ...goodAnswer, refusalReason, hasFailed: true }),
    // One call, and one trial per back-off of about 1 s and 2 s.
    countViolations: (fleet) => excess(fleet.callsAt('near-1'), 4),
    without: { ejector: noEjector },
  })),
  {
    name: 'member fails every call',
    arrange: (fleet) => fleet.answers.set('near-1', { ...goodAnswer, hasFailed: true }),
    countViolations: (fleet) => excess(fleet.callsAt('near-1'), 6),
    without: { ejector: noEjector },
  },
  {
    name: 'member answers nothing',
    arrange: (fleet) => {
      fleet.answers.set('near-1', { hasFailed: true, latencyMs: 200 });
      fleet.serviceMs.set('near-1', 200);
    },
    // Calls on their way when the first ones time out, and the trials.
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
  // Guards against new work where the fault forbids it; the second run shows that the named
  // mechanism is what prevents it.
  test(`routing fault: ${fault.name}`, async () => {
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
    assert.ok(fault.countViolations(unguarded) > 0, 'the mechanism makes no difference');
  });
});
