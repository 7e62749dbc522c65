import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import {
  CallFaultKind,
  LocalMesh,
  type BehaviourChange,
  type InstancePlan,
  type LoadOutcome,
} from '@sequoiafield/stand-ins';
import { buildBundles } from './build.js';
import { buildSettlementConfiguration, withMove } from './configurations.js';

const moveDurationMs = 24_000;
const ratePerS = 120;
/** Maximum percentage of all calls that may fail because of a bad version under the cap of 5 %. */
const failedPercentMax = 2;

const plan = (id: string, dataCentre: string, backendVersion: string): InstancePlan => ({
  id,
  dataCentre,
  service: 'settlement',
  backendVersion,
  behaviour: { serviceTimeMs: 5 },
});

const mesh = new LocalMesh({
  distFolder: buildBundles(),
  instances: [
    plan('s1', 'ath-1', 'v1'),
    plan('s2', 'ath-1', 'v1'),
    plan('s3', 'ath-2', 'v1'),
    plan('s4', 'ath-1', 'v2'),
    plan('s5', 'ath-2', 'v2'),
  ],
});
const files = buildSettlementConfiguration({ 'ath-1': 'in', 'ath-2': 'in' });

const runMove = async (
  id: string,
  to: string,
): Promise<{
  readonly code: number | null;
  readonly text: string;
  readonly outcome: LoadOutcome;
}> => {
  const finish = mesh.startLoad(
    [
      ...['--lookup', 'GET /tabs/{n}', '--request', 'POST /settle/{n}', '--lookupPercent', '50'],
      ...['--rate', String(ratePerS), '--durationS', String(moveDurationMs / 1000), '--runId', id],
      ...['--deadlineMs', '1500'],
    ],
    ['s1', 's3'],
  );
  const now = Date.now();
  const { code, output, log } = await mesh.apply(
    withMove(files, {
      id,
      service: 'settlement',
      from: 'v1',
      to,
      startAt: new Date(now),
      finishBy: new Date(now + moveDurationMs),
    }),
    ['--wait', '--timeout-s', '60', '--admin', mesh.anyInstance.adminUrl],
  );
  return { code, text: output + log, outcome: await finish() };
};

const setBehaviour = async (behaviour: BehaviourChange): Promise<void> => {
  await Promise.all(['s4', 's5'].map((id) => mesh.instance(id).changeBehaviour(behaviour)));
};

before(async () => {
  await mesh.start();
  const { code, log } = await mesh.apply(files);
  assert.equal(code, 0, log);
  await mesh.waitForActiveConfiguration(1);
});

after(() => mesh.stop());

const badVersions: readonly (readonly [string, BehaviourChange['fault']])[] = [
  ['fails-at-once', { kind: CallFaultKind.Fail, percent: 50 }],
  ['hangs-on-one-route', { kind: CallFaultKind.Hang, pathPrefix: '/settle' }],
  ['slow', { kind: CallFaultKind.Slow, slowMs: 400 }],
];

badVersions.forEach(([name, fault]) => {
  test(`a bad version is rolled back: ${name}`, async () => {
    // Guards against a bad version that keeps getting calls, and against more failed calls than the
    // cap allows.
    await setBehaviour({ fault });
    const { code, text, outcome } = await runMove(`settlement-${name}`, 'v2');
    assert.equal(code, 1, text);
    assert.match(text, /taken back/);
    assert.equal(outcome.verification.violationCount, 0, JSON.stringify(outcome.verification));
    const unansweredCount = outcome.requests - (outcome.outcomes.answered ?? 0);
    assert.ok(
      (100 * unansweredCount) / outcome.requests < failedPercentMax,
      JSON.stringify(outcome.outcomes),
    );
  });
});

test('a move to a good version is done in time', async () => {
  // Guards against a move that rolls back a good version or never ends.
  await setBehaviour({ fault: { kind: CallFaultKind.None } });
  const { code, text, outcome } = await runMove('settlement-good', 'v2');
  assert.equal(code, 0, text);
  assert.match(text, /done/);
  assert.equal(outcome.verification.violationCount, 0, JSON.stringify(outcome.verification));
});
