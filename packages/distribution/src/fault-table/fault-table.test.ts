import assert from 'node:assert/strict';
import { test } from 'node:test';
import { matchSnapshot } from '@sequoiafield/test-kit';
import { TestFleet } from '../test-fleet/test-fleet.js';
import { fleetFaults, type FleetFault } from './faults.js';
import { findUnsettledNodes, findInvariantViolations } from './invariants.js';
import { injectionPoints, type InjectionPoint } from './injection-points.js';

const fleetSize = 6;
const seed = Number(process.env.FAULT_TABLE_SEED ?? 7);
/** Time after the end of a fault in which every node has to settle. */
const settleMs = 20_000;

/** Advances in steps and collects violations that show at any moment. */
const advanceWatched = async (
  fleet: TestFleet,
  durationMs: number,
  stepMs: number,
  isDone: () => boolean = () => false,
): Promise<Set<string>> => {
  const seen = new Set<string>();
  for (let doneMs = 0; doneMs < durationMs && !isDone(); doneMs += 500) {
    await fleet.clock.advance(500, stepMs);
    for (const violation of findInvariantViolations(fleet)) seen.add(violation);
  }
  return seen;
};

/** Runs one cell: the fault begins when the step is reached; says what was violated. */
const runCell = async (fault: FleetFault, step: InjectionPoint): Promise<string> => {
  const fleet = new TestFleet(seed);
  try {
    await fleet.start(fleetSize);
    let victim: number | undefined;
    await step.trigger(fleet, (reachedAt) => {
      if (victim !== undefined) return;
      victim = reachedAt;
      fault.begin(fleet, reachedAt);
    });
    const seen = await advanceWatched(fleet, 10_000, 20, () => victim !== undefined);
    if (victim === undefined) return 'step not reached';
    for (const violation of await advanceWatched(fleet, fault.durationMs, fault.stepMs)) {
      seen.add(violation);
    }
    await fault.end(fleet, victim);
    const isSettled = (): boolean => findUnsettledNodes(fleet, 2).length === 0;
    for (const violation of await advanceWatched(fleet, settleMs, 20, isSettled)) {
      seen.add(violation);
    }
    const problems = [...seen, ...findUnsettledNodes(fleet, 2)];
    return problems.length === 0 ? 'holds' : problems.join('; ');
  } finally {
    fleet.stop();
  }
};

for (const fault of fleetFaults) {
  test(`invariants hold under: ${fault.name}`, async () => {
    // Guards against a fault at any step that makes a node revert, apply in part, serve below its
    // floor, or stay behind or evicted after the fault is over.
    const rows: string[] = [];
    for (const step of injectionPoints) rows.push(`${step.name}: ${await runCell(fault, step)}`);
    const command = `FAULT_TABLE_SEED=${seed} node scripts/run-tests.js fault-table`;
    assert.ok(
      rows.every((row) => row.endsWith(': holds')),
      `${fault.name}, seed ${seed}, repeat with ${command}\n${rows.join('\n')}`,
    );
    matchSnapshot(import.meta.filename, fault.name, rows.join('\n'));
  });
}
