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
const cutMs = 22_000;
/** Time after the heal in which everything must be the same everywhere. */
const convergeMaxMs = 8000;
const moveId = 'moved-v2';
const leavingId = 'shared-2';
const changedDeadline = { '95-deadline.ini': '[route shared-post]\ndeadline_ms = 2500\n' };

const inRegion = (plans: readonly InstancePlan[], isFar: boolean): readonly InstancePlan[] =>
  plans.map((plan) =>
    isFar ? { ...plan, region: 'far', address: farAddress } : { ...plan, region: 'near' },
  );

const shared = [...nearDataCentres, ...farDataCentres].map((dataCentre, index) => ({
  ...{ id: `shared-${index + 1}`, dataCentre, service: 'shared', backendVersion: 'v1' },
  behaviour: { serviceTimeMs: 10 },
}));
const near = inRegion(
  [...shared.slice(0, 2), ...planMoveInstances('moved', nearDataCentres, 2)],
  false,
);
const far = inRegion(shared.slice(2), true);
const files = buildServiceConfiguration(
  [...nearDataCentres, ...farDataCentres],
  ['shared', 'moved'],
);

const mesh = new LocalMesh({
  distFolder: buildBundles(),
  instances: [...near, ...far],
  isProxied: true,
});

const pathsOf = (plans: readonly InstancePlan[]): readonly string[] =>
  plans.flatMap(({ id }) => [`link:${id}`, `gossip:${id}`]);

/** Cuts the regions apart in both directions; the far one does not reach the store either. */
const setCut = async (mode: PathFaultMode): Promise<void> => {
  await mesh.setFault(pathsOf(near), { mode, clientAddress: farAddress });
  await mesh.setFault(pathsOf(far), { mode, clientAddress: nearAddress });
  await mesh.setFault(
    far.map(({ id }) => `store:${id}`),
    { mode },
  );
};

/** A bad version gets under 5 % of the calls, of which the verdict needs a dozen failures in time. */
const movedRatePerS = 80;
const ratePerS = 30;

const load = (
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

const ask = async <Answer>(id: string, path: string): Promise<Answer> => {
  const response = await fetch(`${mesh.instance(id).adminUrl}${path}`, {
    signal: AbortSignal.timeout(2000),
  });
  return (await response.json()) as Answer;
};

const idsOf = (plans: readonly InstancePlan[]): readonly string[] => plans.map(({ id }) => id);
const staying = [...idsOf(near), ...idsOf(far)].filter((id) => id !== leavingId);

const versions = (ids: readonly string[]): Promise<readonly number[]> =>
  Promise.all(ids.map(async (id) => Number((await mesh.instance(id).state()).configVersion)));

const verdictOn = async (id: string): Promise<MoveVerdict | undefined> => {
  const { moves } = await ask<{ moves: readonly MoveStatus[] }>(id, '/v1/moves');
  return moves.find((move) => move.moveId === moveId)?.verdict;
};

/** True if a node holds the version and the verdict, and knows who stayed and who left. */
const isConverged = async (id: string, configVersion: number): Promise<boolean> => {
  const state = await mesh.instance(id).state();
  const { members } = await ask<{ members: readonly MemberRow[] }>(id, '/v1/members');
  const isAlive = (memberId: string): boolean =>
    members.some((row) => row.id === memberId && row.state === MemberState.Alive);
  return (
    state.configVersion === configVersion &&
    state.isServing === true &&
    (await verdictOn(id)) === MoveVerdict.RolledBack &&
    staying.every(isAlive) &&
    !isAlive(leavingId)
  );
};

const describe = ({ outcomes, reasons, verification }: LoadOutcome): string =>
  JSON.stringify({ outcomes, reasons, verification });

before(async () => {
  await mesh.start();
  const { code, log } = await mesh.apply(files);
  assert.equal(code, 0, log);
  await mesh.waitForActiveConfiguration(1);
});

after(() => mesh.stop());

test('regions apart serve on, and agree within 8 s after the heal', async (context) => {
  // Guards against a side that stops to serve, that goes back, or that keeps its own view.
  // Nodes raise the load of servers that they do not know yet over some seconds.
  const warmUps = ['shared', 'moved'].map((service) =>
    load(service, `warm-up-${service}`, staying, 5)(),
  );
  await Promise.all(warmUps);
  const loadS = cutMs / 1000 + 6;
  const finishes = [
    load('shared', 'near', ['shared-1', 'moved-v1-1'], loadS),
    load('shared', 'far', idsOf(far), loadS),
    load('moved', 'moved', ['moved-v1-1', 'moved-v1-2'], loadS, movedRatePerS),
  ];
  await delay(2000);
  await setCut(PathFaultMode.Cut);
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
    'the near side gives a verdict',
    cutMs,
    async () => (await verdictOn('moved-v1-1')) === MoveVerdict.RolledBack,
  );
  context.diagnostic(`verdict ${Math.round(performance.now() - cutAtMs)} ms after the cut`);
  await delay(Math.max(0, cutMs - (performance.now() - cutAtMs)));
  assert.deepEqual(new Set(await versions(idsOf(far))), new Set([1]), 'the cut does not cut');
  const nearVersions = await versions(staying.filter((id) => !idsOf(far).includes(id)));
  assert.deepEqual(new Set(nearVersions), new Set([2]));
  await setCut(PathFaultMode.Pass);
  const tookMs = await mesh.waitUntil('all agree after the heal', convergeMaxMs, async () => {
    const answers = await Promise.all(staying.map((id) => isConverged(id, 2)));
    return answers.every(Boolean);
  });
  context.diagnostic(`all agree ${Math.round(tookMs)} ms after the heal`);
  for (const outcome of await Promise.all(finishes.map((finish) => finish()))) {
    assert.equal(outcome.verification.violationCount, 0, describe(outcome));
    assert.equal(outcome.outcomes['wrong-answer'], 0, describe(outcome));
    const answeredPercent = (100 * (outcome.outcomes.answered ?? 0)) / outcome.requests;
    assert.ok(answeredPercent >= 95, describe(outcome));
    context.diagnostic(`${answeredPercent.toFixed(2)} % of ${outcome.requests} calls answered`);
  }
  assert.deepEqual(new Set(await versions(staying)), new Set([2]));
});
