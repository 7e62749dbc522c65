import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EvacuationRun, type EvacuationResult, type EvacuationTimeline } from './evacuation-run.js';
import { baselinePolicy, productPolicy } from './traffic-policies.js';
import type { TrafficPolicy } from './traffic-policy.js';
import { userWorkloads } from './user-workloads.js';

const timeline: EvacuationTimeline = {
  measureFromMs: 1000,
  evacuateAtMs: 2000,
  stopAfterMs: 3500,
  restoreAtMs: 6000,
  endAtMs: 8500,
};
const user = userWorkloads.find(({ name }) => name === 'kolsyra')!;
const runPolicy = (policy: TrafficPolicy): Promise<EvacuationResult> =>
  new EvacuationRun(user, policy, timeline, 1).run();

const policyWithoutGuards: TrafficPolicy = {
  name: 'unguarded',
  createRoutingMechanisms: () => ({ weights: { weightOf: () => 1 } }),
  createAdmissionMechanisms: () => ({
    ...baselinePolicy.createAdmissionMechanisms(),
    refusesWhenEvacuated: false,
  }),
};

test('an evacuated data centre gets no new work after 3 s, and a restored one only what it can handle', async () => {
  // Guards invariants 5, 6 and 9 under the load of a user: router and admission together could send
  // work to an evacuated data centre, start a call twice or overload restored cold servers.
  const product = await runPolicy(productPolicy);
  assert.ok(product.lastNewRequestS <= 3, `last new request after ${product.lastNewRequestS} s`);
  assert.equal(product.doubledRequests, 0);
  assert.ok(product.coldOverloadMax < 2, `overload of ${product.coldOverloadMax}`);
  const resultWithoutGuards = await runPolicy(policyWithoutGuards);
  assert.ok(
    resultWithoutGuards.lastNewRequestS > 3,
    'without the data centre state, new work still ends within 3 s',
  );
  assert.ok(
    resultWithoutGuards.coldOverloadMax > 2,
    'without the ramps, no cold server is overloaded',
  );
});
