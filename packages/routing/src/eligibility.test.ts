import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import fc from 'fast-check';
import { pauseClock, type PausedClock } from '@sequoiafield/test-kit';
import { DataCentreState, MemberState, RefusalReason, type MemberRow } from '@sequoiafield/types';
import type { RoutingMechanisms } from './index.js';
import { createSnapshot, dataCentres, FakeFleet, service } from './test-support/fake-fleet.js';
import { noFilter, noWeights, failClosedFilter } from './test-support/disabled-mechanisms.js';

let clock: PausedClock;
beforeEach(() => {
  clock = pauseClock();
});
afterEach(() => clock.resume());

test('a rolled-back version gets no call, even if no other version is available', () => {
  // Guards against failing open to a bad backend version.
  const fleet = new FakeFleet();
  const routing = fleet.create({});
  assert.ok(routing.router.choose(service, 'v1', new Set()));
  fleet.rolledBackVersions.add('v1');
  assert.equal(routing.router.choose(service, 'v1', new Set()), undefined);
});

test('a member that leaves between two ticks gets no call', () => {
  // Guards against subsets that are used after the states of their members changed.
  const fleet = new FakeFleet();
  const { router } = fleet.create({});
  router.choose(service, 'v1', new Set());
  fleet.rows.forEach((row) => fleet.setState(row.id, MemberState.Draining));
  assert.equal(router.choose(service, 'v1', new Set()), undefined);
});

const memberStates = [
  MemberState.Joining,
  MemberState.Alive,
  MemberState.Suspect,
  MemberState.Draining,
  MemberState.Left,
  MemberState.Dead,
];

const forbiddenStates = new Set([MemberState.Joining, MemberState.Draining, MemberState.Left]);

const memberArbitrary = fc.record({
  state: fc.constantFrom(...memberStates),
  reasons: fc.array(fc.constantFrom(undefined, ...Object.values(RefusalReason)), { maxLength: 4 }),
});

/** Mixes member states, evacuated data centres and results of this caller's own attempts. */
const choiceProperty = (mechanisms: Partial<RoutingMechanisms>) =>
  fc.property(
    fc.array(memberArbitrary, { minLength: 6, maxLength: 6 }),
    fc.array(fc.boolean(), { minLength: 3, maxLength: 3 }),
    fc.integer(),
    (members, areEvacuated, seed) => {
      const fleet = new FakeFleet();
      const isEvacuated = (name: string): boolean =>
        areEvacuated[dataCentres.findIndex((dataCentre) => dataCentre === name)] ?? false;
      fleet.snapshot = createSnapshot(
        Object.fromEntries(
          dataCentres.map((name) => [
            name,
            { state: isEvacuated(name) ? DataCentreState.Evacuated : DataCentreState.InService },
          ]),
        ),
      );
      const { router } = fleet.create(mechanisms, seed);
      fleet.rows.forEach((row, index) => {
        fleet.setState(row.id, members[index]!.state);
        members[index]!.reasons.forEach((refusalReason) => {
          router.report({
            memberId: row.id,
            service,
            hasFailed: true,
            latencyMs: 1,
            refusalReason,
          });
        });
      });
      const isPermitted = (row: MemberRow): boolean =>
        !forbiddenStates.has(row.state) && !isEvacuated(row.dataCentre);
      const chosen = router.choose(service, 'v1', new Set());
      if (fleet.rows.some(isPermitted)) return chosen !== undefined && isPermitted(chosen);
      return chosen === undefined;
    },
  );

test('a permitted member is chosen whenever one exists, and never a forbidden one', () => {
  // Guards against a call that fails although a permitted member exists, and against failing open to a
  // member that may not get new work.
  const options = { seed: 20261204, numRuns: 500 };
  fc.assert(choiceProperty({}), options);
  assert.ok(fc.check(choiceProperty({ filter: noFilter }), options).failed);
  assert.ok(fc.check(choiceProperty({ weights: noWeights }), options).failed);
  assert.ok(fc.check(choiceProperty({ filter: failClosedFilter }), options).failed);
});

test('a service that fails every call gets few more attempts than calls', () => {
  // Guards against retries that multiply the load of a failing service.
  const countAttempts = (mechanisms: Partial<RoutingMechanisms>): number => {
    const { router } = new FakeFleet().create(mechanisms);
    let attempts = 0;
    for (let call = 0; call < 1000; call += 1) {
      router.recordFirstAttempt(service);
      attempts += 1;
      for (let retry = 0; retry < 2 && router.takeRetry(service, 10); retry += 1) attempts += 1;
    }
    return attempts;
  };
  assert.ok(countAttempts({}) <= 1110);
  const noBudget = { recordFirstAttempt: () => {}, takeRetry: () => true };
  assert.equal(countAttempts({ budget: noBudget }), 3000);
});
