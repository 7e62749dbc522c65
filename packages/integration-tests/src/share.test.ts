import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { PathFaultMode, LocalMesh } from '@sequoiafield/stand-ins';
import { buildBundles } from './build.js';
import {
  buildSettlementConfiguration,
  planSettlementInstances,
  withMove,
} from './configurations.js';

const v1Instances = planSettlementInstances(['ath-1', 'ath-1', 'ath-2']);
const v2Instances = ['s4', 's5'].map((id, index) => ({
  ...{ id, dataCentre: `ath-${index + 1}`, service: 'settlement', backendVersion: 'v2' },
  behaviour: { serviceTimeMs: 5 },
}));
const mesh = new LocalMesh({
  distFolder: buildBundles(),
  instances: [...v1Instances, ...v2Instances],
  isProxied: true,
});
const files = buildSettlementConfiguration({ 'ath-1': 'in', 'ath-2': 'in' });
const ratePerS = 120;

const startLoad = (runId: string, durationS: number) =>
  mesh.startLoad(
    [
      ...['--lookup', 'GET /tabs/{n}', '--request', 'POST /settle/{n}', '--lookupPercent', '50'],
      ...['--rate', String(ratePerS), '--durationS', String(durationS), '--deadlineMs', '1500'],
      ...['--runId', runId],
    ],
    ['s1', 's3'],
  );

const applyMove = (id: string, durationS: number, args: readonly string[]) => {
  const now = Date.now();
  const [startAt, finishBy] = [new Date(now), new Date(now + durationS * 1000)];
  return mesh.apply(
    withMove(files, { id, service: 'settlement', from: 'v1', to: 'v2', startAt, finishBy }),
    args,
  );
};

const countStartedCalls = async (ids: readonly string[]): Promise<number> => {
  let calls = 0;
  for (const id of ids) {
    const response = await fetch(`${mesh.instance(id).backendUrl}/-/ledger`);
    calls += Object.keys(((await response.json()) as { entries: object }).entries).length;
  }
  return calls;
};

const measureSharePercent = async (durationMs: number): Promise<number> => {
  const allIds = [...mesh.instances.keys()];
  const countsBefore = [
    await countStartedCalls(['s4', 's5']),
    await countStartedCalls(allIds),
  ] as const;
  await delay(durationMs);
  const countsAfter = [
    await countStartedCalls(['s4', 's5']),
    await countStartedCalls(allIds),
  ] as const;
  return (100 * (countsAfter[0] - countsBefore[0])) / (countsAfter[1] - countsBefore[1]);
};

before(async () => {
  await mesh.start();
  assert.equal((await mesh.apply(files)).code, 0);
  await mesh.waitForActiveConfiguration(1);
});

after(() => mesh.stop());

test('a node that missed the start of a repeated move does not exceed its share', async () => {
  // Guards against one caller with a stale snapshot that exposes half of the traffic: s1 still
  // applies the first move, which is done, and sends all of its calls to the new version.
  const finishFirst = startLoad('first', 24);
  const waitArguments = ['--wait', '--timeout-s', '60', '--admin', mesh.anyInstance.adminUrl];
  const { code, log } = await applyMove('first', 24, waitArguments);
  assert.equal(code, 0, log);
  await finishFirst();
  await mesh.setFault(['gossip:s1', 'store:s1'], { mode: PathFaultMode.Cut });
  assert.equal((await applyMove('second', 600, [])).code, 0);
  await mesh.waitUntil('the other nodes have version 3', 10_000, async () =>
    (await Promise.all(['s3', 's4', 's5'].map((id) => mesh.instance(id).state()))).every(
      ({ configVersion }) => configVersion === 3,
    ),
  );
  const finish = startLoad('second', 22);
  await delay(1000);
  const firstPercent = await measureSharePercent(2000);
  await delay(11_000);
  const laterPercent = await measureSharePercent(5000);
  const { outcomes, verification } = await finish();
  assert.equal((await mesh.instance('s1').state()).configVersion, 2);
  assert.ok(firstPercent > 30, `${firstPercent} % at first`);
  assert.ok(laterPercent < 8, `${laterPercent} % later, ${firstPercent} % at first`);
  assert.equal(verification.violationCount, 0, JSON.stringify(verification.violations));
  assert.ok((outcomes.answered ?? 0) > 0.98 * 22 * ratePerS, JSON.stringify(outcomes));
});
