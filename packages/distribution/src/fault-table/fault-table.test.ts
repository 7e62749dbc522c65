import assert from 'node:assert/strict';
import { test } from 'node:test';
import { matchSnapshot } from '@sequoiafield/test-kit';
import { TestFleet } from '../test-fleet/test-fleet.js';
import { fleetFaults, type FleetFault } from './faults.js';
import { findUnrecoveredNodes, findInvariantViolations } from './invariants.js';
import { injectionPoints, type InjectionPoint } from './injection-points.js';

const fleetSize = 6;
const seed = Number(process.env.FAULT_TABLE_SEED ?? 7);
/** Time after the end of a fault within which every node must recover. */
const recoveryMaxMs = 20_000;

/** Advances the clock in steps and collects the violations found after each. */
const advanceCollectingViolations = async (
  fleet: TestFleet,
  durationMs: number,
  stepMs: number,
  isDone: () => boolean = () => false,
): Promise<Set<string>> => {
  const violations = new Set<string>();
  for (let elapsedMs = 0; elapsedMs < durationMs && !isDone(); elapsedMs += 500) {
    await fleet.clock.advance(500, stepMs);
    for (const violation of findInvariantViolations(fleet)) violations.add(violation);
  }
  return violations;
};

/** Runs one cell: begins the fault when the step is reached and returns the violations. */
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
    const violations = await advanceCollectingViolations(
      fleet,
      10_000,
      20,
      () => victim !== undefined,
    );
    if (victim === undefined) return 'the step was not reached';
    for (const violation of await advanceCollectingViolations(
      fleet,
      fault.durationMs,
      fault.stepMs,
    )) {
      violations.add(violation);
    }
    await fault.end(fleet, victim);
    const hasRecovered = (): boolean => findUnrecoveredNodes(fleet, 2).length === 0;
    for (const violation of await advanceCollectingViolations(
      fleet,
      recoveryMaxMs,
      20,
      hasRecovered,
    )) {
      violations.add(violation);
    }
    const problems = [...violations, ...findUnrecoveredNodes(fleet, 2)];
    return problems.length === 0 ? 'holds' : problems.join('; ');
  } finally {
    fleet.stop();
  }
};

for (const fault of fleetFaults) {
  test(`invariants hold under: ${fault.name}`, async () => {
    // Guards against a fault at any step after which a node reverts, applies a version in part, serves
    // below its minimum version, or stays behind or evicted when the fault has ended.
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
