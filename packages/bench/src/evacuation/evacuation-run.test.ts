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
const observe = (policy: TrafficPolicy): Promise<EvacuationResult> =>
  new EvacuationRun(user, policy, timeline, 1).run();

const unguardedPolicy: TrafficPolicy = {
  name: 'unguarded',
  createRoutingMechanisms: () => ({ weights: { weightOf: () => 1 } }),
  createAdmissionMechanisms: () => ({
    ...baselinePolicy.createAdmissionMechanisms(),
    refusesWhenEvacuated: false,
  }),
};

test('a data centre that is out gets no new work after 3 s, and a returned one only what it can handle', async () => {
  // Guards invariants 5, 6 and 9 with router and admission together under the load of a user.
  const product = await observe(productPolicy);
  assert.ok(product.lastNewRequestS <= 3, `last new request after ${product.lastNewRequestS} s`);
  assert.equal(product.doubledRequests, 0);
  assert.ok(product.coldOverloadMax < 2, `overload of ${product.coldOverloadMax}`);
  const unguarded = await observe(unguardedPolicy);
  assert.ok(unguarded.lastNewRequestS > 3, 'the data centre state makes no difference');
  assert.ok(unguarded.coldOverloadMax > 2, 'the ramps make no difference');
});
