import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import {
  PathFaultMode,
  LocalMesh,
  type InstancePlan,
  type LoadOutcome,
} from '@sequoiafield/stand-ins';
import { MemberState, MoveVerdict, type MemberRow, type MoveStatus } from '@sequoiafield/types';
import { buildBundles } from './build.js';
import { planMoveInstances, buildServiceConfiguration, withMoves } from './configurations.js';
import { changeVersionBehaviour, failHalfOfCalls } from './support/behaviour-changes.js';

const nearAddress = '127.0.0.1';
const farAddress = '127.0.0.2';
const nearDataCentres = ['ath-1', 'ath-2'];
const farDataCentres = ['sto-1', 'sto-2'];
const cutDurationMs = 22_000;
/** Time after the end of the partition within which all nodes must agree. */
const convergeMaxMs = 8000;
const moveId = 'moved-v2';
const leavingId = 'shared-2';
const changedDeadline = { '95-deadline.ini': '[route shared-post]\ndeadline_ms = 2500\n' };

const assignRegion = (plans: readonly InstancePlan[], isFar: boolean): readonly InstancePlan[] =>
  plans.map((plan) =>
    isFar ? { ...plan, region: 'far', address: farAddress } : { ...plan, region: 'near' },
  );

const sharedPlans = [...nearDataCentres, ...farDataCentres].map((dataCentre, index) => ({
  ...{ id: `shared-${index + 1}`, dataCentre, service: 'shared', backendVersion: 'v1' },
  behaviour: { serviceTimeMs: 10 },
}));
const nearPlans = assignRegion(
  [...sharedPlans.slice(0, 2), ...planMoveInstances('moved', nearDataCentres, 2)],
  false,
);
const farPlans = assignRegion(sharedPlans.slice(2), true);
const files = buildServiceConfiguration(
  [...nearDataCentres, ...farDataCentres],
  ['shared', 'moved'],
);

const mesh = new LocalMesh({
  distFolder: buildBundles(),
  instances: [...nearPlans, ...farPlans],
  isProxied: true,
});

const listPaths = (plans: readonly InstancePlan[]): readonly string[] =>
  plans.flatMap(({ id }) => [`link:${id}`, `gossip:${id}`]);

/** Sets the fault mode between the regions, both ways, and between the far one and the store. */
const setPartition = async (mode: PathFaultMode): Promise<void> => {
  await mesh.setFault(listPaths(nearPlans), { mode, clientAddress: farAddress });
  await mesh.setFault(listPaths(farPlans), { mode, clientAddress: nearAddress });
  await mesh.setFault(
    farPlans.map(({ id }) => `store:${id}`),
    { mode },
  );
};

/** The verdict needs a dozen failures in time, and a bad version gets under 5 % of the calls. */
const movedRatePerS = 80;
const ratePerS = 30;

const startLoad = (
  service: string,
  runId: string,
  targets: readonly string[],
  durationS: number,
  rate = ratePerS,
) =>
  mesh.startLoad(
    [
      ...['--lookup', `GET /${service}/tabs/{n}`, '--request', `POST /${service}/settle/{n}`],
      ...['--lookupPercent', '50', '--rate', String(rate), '--durationS', String(durationS)],
      ...['--deadlineMs', '2000', '--runId', runId],
    ],
    targets,
  );

const fetchAdmin = async <Answer>(id: string, path: string): Promise<Answer> => {
  const response = await fetch(`${mesh.instance(id).adminUrl}${path}`, {
    signal: AbortSignal.timeout(2000),
  });
  return (await response.json()) as Answer;
};

const listIds = (plans: readonly InstancePlan[]): readonly string[] => plans.map(({ id }) => id);
const remainingIds = [...listIds(nearPlans), ...listIds(farPlans)].filter((id) => id !== leavingId);

const readVersions = (ids: readonly string[]): Promise<readonly number[]> =>
  Promise.all(ids.map(async (id) => Number((await mesh.instance(id).state()).configVersion)));

const readVerdictFrom = async (id: string): Promise<MoveVerdict | undefined> => {
  const { moves } = await fetchAdmin<{ moves: readonly MoveStatus[] }>(id, '/v1/moves');
  return moves.find((move) => move.moveId === moveId)?.verdict;
};

/** Returns whether a node serves the version, has the verdict and knows who stayed and who left. */
const isConverged = async (id: string, configVersion: number): Promise<boolean> => {
  const state = await mesh.instance(id).state();
  const { members } = await fetchAdmin<{ members: readonly MemberRow[] }>(id, '/v1/members');
  const isAlive = (memberId: string): boolean =>
    members.some((row) => row.id === memberId && row.state === MemberState.Alive);
  return (
    state.configVersion === configVersion &&
    state.isServing === true &&
    (await readVerdictFrom(id)) === MoveVerdict.RolledBack &&
    remainingIds.every(isAlive) &&
    !isAlive(leavingId)
  );
};

const describeOutcome = ({ outcomes, reasons, verification }: LoadOutcome): string =>
  JSON.stringify({ outcomes, reasons, verification });

before(async () => {
  await mesh.start();
  const { code, log } = await mesh.apply(files);
  assert.equal(code, 0, log);
  await mesh.waitForActiveConfiguration(1);
});

after(() => mesh.stop());

test('separated regions keep serving and agree within 8 s after the partition heals', async (context) => {
  // Guards against a region that stops serving, that returns to an older version, or that does not
  // adopt the state of the other one.
  // Nodes increase the load of servers that are new to them over some seconds.
  const warmUps = ['shared', 'moved'].map((service) =>
    startLoad(service, `warm-up-${service}`, remainingIds, 5)(),
  );
  await Promise.all(warmUps);
  const loadDurationS = cutDurationMs / 1000 + 6;
  const finishes = [
    startLoad('shared', 'near', ['shared-1', 'moved-v1-1'], loadDurationS),
    startLoad('shared', 'far', listIds(farPlans), loadDurationS),
    startLoad('moved', 'moved', ['moved-v1-1', 'moved-v1-2'], loadDurationS, movedRatePerS),
  ];
  await delay(2000);
  await setPartition(PathFaultMode.Cut);
  const cutAtMs = performance.now();
  await changeVersionBehaviour('moved', 'v2', failHalfOfCalls)(mesh);
  const now = Date.now();
  const move = { id: moveId, service: 'moved', from: 'v1', to: 'v2' };
  const times = { startAt: new Date(now), finishBy: new Date(now + 24_000) };
  const applied = await mesh.apply({
    ...withMoves(files, [{ ...move, ...times }]),
    ...changedDeadline,
  });
  assert.equal(applied.code, 0, applied.log);
  assert.equal(await mesh.instance(leavingId).node?.terminate(), 0);
  await mesh.waitUntil(
    'the near region has a verdict',
    cutDurationMs,
    async () => (await readVerdictFrom('moved-v1-1')) === MoveVerdict.RolledBack,
  );
  context.diagnostic(`verdict ${Math.round(performance.now() - cutAtMs)} ms after the cut`);
  await delay(Math.max(0, cutDurationMs - (performance.now() - cutAtMs)));
  assert.deepEqual(
    new Set(await readVersions(listIds(farPlans))),
    new Set([1]),
    'the far region received the new version during the cut',
  );
  const nearVersions = await readVersions(
    remainingIds.filter((id) => !listIds(farPlans).includes(id)),
  );
  assert.deepEqual(new Set(nearVersions), new Set([2]));
  await setPartition(PathFaultMode.Pass);
  const convergedAfterMs = await mesh.waitUntil(
    'all nodes agree after the partition healed',
    convergeMaxMs,
    async () => {
      const converged = await Promise.all(remainingIds.map((id) => isConverged(id, 2)));
      return converged.every(Boolean);
    },
  );
  context.diagnostic(
    `all nodes agree ${Math.round(convergedAfterMs)} ms after the partition healed`,
  );
  for (const outcome of await Promise.all(finishes.map((finish) => finish()))) {
    assert.equal(outcome.verification.violationCount, 0, describeOutcome(outcome));
    assert.equal(outcome.outcomes['wrong-answer'], 0, describeOutcome(outcome));
    const answeredPercent = (100 * (outcome.outcomes.answered ?? 0)) / outcome.requests;
    assert.ok(answeredPercent >= 95, describeOutcome(outcome));
    context.diagnostic(`${answeredPercent.toFixed(2)} % of ${outcome.requests} calls answered`);
  }
  assert.deepEqual(new Set(await readVersions(remainingIds)), new Set([2]));
});
