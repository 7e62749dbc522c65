import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { StoreFault } from '@sequoiafield/store';
import { SeededRandom, setMonotonicClock } from '@sequoiafield/tables';
import { pauseClock, type PausedClock } from '@sequoiafield/test-kit';
import { HoldingEnd, LeaseClock } from './index.js';
import { DutyFleet } from './test-support/duty-fleet.js';
import { leaseMs, recordKey } from './test-support/duty-node.js';

let clock: PausedClock;

beforeEach(() => {
  clock = pauseClock();
});

afterEach(() => clock.resume());

test('one of many nodes holds the duty, with a few calls to the store', async () => {
  // Guards against two holders, and against calls that grow with the fleet.
  const fleet = new DutyFleet(clock, 40);
  await fleet.runUntilHeld();
  const before = { ...fleet.store.calls };
  await fleet.run(30_000);
  assert.equal(fleet.history.length, 1);
  const { read, watch, grant, renew, commit } = fleet.store.calls;
  assert.deepEqual([grant - before.grant, commit - before.commit], [0, 0]);
  assert.ok(renew - before.renew <= 30, `${renew - before.renew} renewals`);
  const reads = watch - before.watch + read - before.read;
  assert.ok(reads <= 45, `${reads} reads and watches`);
});

const checkRandomFaults = async (fault: StoreFault): Promise<void> => {
  const fleet = new DutyFleet(clock, 5);
  const random = new SeededRandom(11);
  fleet.store.decideFault = () => (random.next() < 0.35 ? fault : undefined);
  await fleet.run(90_000);
  assert.ok(fleet.heldSteps > 300, `held in ${fleet.heldSteps} of 900 steps`);
  fleet.store.decideFault = () => undefined;
  await fleet.run(2 * leaseMs);
  assert.ok(fleet.holder());
};

// Each guards against a holder that does not know that its write took effect, and against a second one.
for (const fault of Object.values(StoreFault)) {
  test(`a duty whose calls fail at random has one holder at a time: ${fault}`, () =>
    checkRandomFaults(fault));
}

test('the write whose answer was lost makes its node the holder', async () => {
  // Guards against a duty that rests for a lease although the record names a living node.
  const fleet = new DutyFleet(clock, 3);
  let faults = 1;
  fleet.store.decideFault = ({ operation }) => {
    if (operation !== 'commit' || faults === 0) return undefined;
    faults -= 1;
    return StoreFault.AnswerLost;
  };
  await fleet.run(1500);
  assert.equal(fleet.holder()?.duty.holding()?.token, fleet.store.peek(recordKey)?.revision);
  assert.ok(fleet.holder());
});

test('a holder without the store ends before its lease, and the duty returns with the store', async () => {
  // Guards against a holder that continues after another node may have taken the duty.
  const fleet = new DutyFleet(clock, 5);
  const holder = await fleet.runUntilHeld();
  fleet.store.answerDelayMs = 900;
  await fleet.run(3000);
  fleet.store.decideFault = () => StoreFault.NotWritten;
  await fleet.run(leaseMs);
  assert.equal(holder.duty.holding(), undefined);
  await fleet.run(7000);
  fleet.store.decideFault = () => undefined;
  await fleet.run(4000);
  assert.ok(fleet.holder());
});

test('a slow store does not change the holder', async () => {
  // Guards against failovers whenever the store takes 80 times its usual 4 ms.
  const fleet = new DutyFleet(clock, 5);
  await fleet.runUntilHeld();
  fleet.store.answerDelayMs = 320;
  await fleet.run(30_000);
  assert.equal(fleet.history.length, 1);
});

test('a call starts only if its whole timeout fits into the lease', async () => {
  // Guards against a report that reaches its receiver after the duty passed to another node.
  const fleet = new DutyFleet(clock, 1);
  const holder = await fleet.runUntilHeld();
  holder.isCutOff = true;
  await fleet.run(1200);
  const holding = holder.duty.holding()!;
  assert.deepEqual([holding.isHeldFor(200), holding.isHeldFor(1500)], [true, false]);
});

test('a stopped process does not hold the duty when it goes on, and another has it by then', async () => {
  // Guards against a holder that acts on the lease of before its pause.
  const fleet = new DutyFleet(clock, 5);
  const holder = await fleet.runUntilHeld();
  holder.isRunning = false;
  await fleet.run(leaseMs + 1500);
  const successor = fleet.holder();
  assert.ok(successor && successor !== holder);
  assert.equal(holder.duty.holding(), undefined);
  holder.isRunning = true;
  await fleet.run(20_000);
  assert.equal(fleet.holder(), successor);
});

test('a suspended machine does not hold the duty, although its monotonic clock stood still', async () => {
  // Guards against a virtual machine that is thawed and takes its old lease for valid.
  const startMs = Date.now();
  let suspendedMs = 0;
  setMonotonicClock({ nowMs: () => Date.now() - startMs - suspendedMs });
  const fleet = new DutyFleet(clock, 1);
  const holder = await fleet.runUntilHeld();
  suspendedMs = leaseMs;
  await clock.advance(leaseMs, leaseMs);
  assert.equal(holder.duty.holding(), undefined);
});

test('a wall clock that is set does not lengthen a lease', () => {
  // Guards against jumps of the wall clock in both directions, also just before a suspension.
  const at = (monotonicMs: number, wallUnixMs: number) => ({ monotonicMs, wallUnixMs });
  const create = (): LeaseClock => new LeaseClock(leaseMs, at(0, 100_000));
  assert.equal(create().isValidFor(0, at(2600, 102_600)), true);
  assert.equal(create().isValidFor(0, at(2800, 102_800)), false);
  assert.equal(create().isValidFor(0, at(100, 104_000)), false);
  const setBack = create();
  assert.equal(setBack.isValidFor(0, at(1000, 91_000)), true);
  assert.equal(setBack.isValidFor(0, at(2800, 92_800)), false);
  assert.equal(setBack.isValidFor(0, at(1100, 94_100)), false);
});

test('after the kill of its holder the duty passes on once, also if the node returns at once', async () => {
  // Guards against a duty that passes A, B, A, and against a gap of more than a few seconds.
  const fleet = new DutyFleet(clock, 5);
  const killed = await fleet.runUntilHeld();
  fleet.kill(killed);
  await fleet.run(300);
  fleet.startNode(killed.id);
  await fleet.run(leaseMs + 1000);
  const { length } = fleet.history;
  assert.equal(length, 2);
  await fleet.run(15_000);
  assert.equal(fleet.history.length, length);
});

test('the node whose duty was taken over waits for longer than the lease', async () => {
  // Guards against A, B, A within the lease when the first successor ends at once.
  const fleet = new DutyFleet(clock, 2);
  for (let round = 0; round < 4; round++) {
    const holder = await fleet.runUntilHeld();
    const { token } = holder.duty.holding()!;
    holder.duty.endHolding(token + 1, HoldingEnd.Superseded);
    assert.ok(holder.duty.holding(), 'another token ended the holding');
    holder.duty.endHolding(token, HoldingEnd.Superseded);
    assert.ok(fleet.store.peek(recordKey), 'the lease was given back early');
    await fleet.run(100);
  }
});

test('a node that stops passes the duty on while it still answers', async () => {
  // Guards against a gap of the grace period and a lease at each planned stop.
  const fleet = new DutyFleet(clock, 5);
  const stopping = await fleet.runUntilHeld();
  fleet.announceDraining(stopping);
  await fleet.run(leaseMs + 1500);
  assert.notEqual(fleet.holder(), stopping);
  assert.ok(fleet.holder());
});

const checkRestored = async (
  copiedAfterMs: number,
  withLeases: boolean,
  isCutOff: boolean,
): Promise<void> => {
  const fleet = new DutyFleet(clock, 5);
  await fleet.run(copiedAfterMs);
  const restore = fleet.store.copy({ withLeases });
  await fleet.run(4000);
  const former = fleet.history.at(-1)!;
  fleet.isRestored = true;
  fleet.holder()!.isCutOff = isCutOff;
  restore();
  await fleet.run(2 * leaseMs + 4000);
  assert.ok(fleet.holder()!.duty.holding()!.token > former.token);
};

// Each guards against two holders when the record or the lease of the present one is lost.
for (const withLeases of [true, false]) {
  for (const copiedAfterMs of [500, 20_000]) {
    const name = `copied after ${copiedAfterMs} ms, leases ${withLeases ? 'kept' : 'lost'}`;
    test(`a restored store has one holder: ${name}`, () =>
      checkRestored(copiedAfterMs, withLeases, false));
    test(`a restored store has one holder: ${name}, former holder cut off`, () =>
      checkRestored(copiedAfterMs, withLeases, true));
  }
}
