import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { LocalMesh, type InstancePlan } from '@sequoiafield/stand-ins';
import { buildBundles } from './build.js';
import { buildSettlementConfiguration } from './configurations.js';

const instances: readonly InstancePlan[] = ['ath-1', 'ath-1', 'ath-2', 'ath-2'].map(
  (dataCentre, index) => ({
    id: `s${index + 1}`,
    dataCentre,
    service: 'settlement',
    backendVersion: 'v1',
  }),
);
const dataCentres = { 'ath-1': 'in', 'ath-2': 'in' } as const;
const loadArguments = [
  ...['--lookup', 'GET /tabs/{n}', '--request', 'POST /settle/{n}'],
  ...['--lookupPercent', '50', '--rate', '60', '--deadlineMs', '3000'],
];

let mesh: LocalMesh;

before(async () => {
  mesh = new LocalMesh({ distFolder: buildBundles(), instances });
  await mesh.start();
});

after(() => mesh.stop());

test('an accepted configuration becomes active on all nodes and calls are answered', async () => {
  // Guards against components that work in their own tests but not together as processes.
  const applied = await mesh.apply(buildSettlementConfiguration(dataCentres));
  assert.equal(applied.code, 0, applied.log);
  await mesh.waitForActiveConfiguration(1);
  const { outcomes, reasons, verification } = await mesh.startLoad(
    [...loadArguments, '--count', '200', '--durationS', '10'],
    ['s1', 's3'],
  )();
  assert.equal(verification.violationCount, 0, JSON.stringify(verification.violations));
  assert.equal(outcomes['wrong-answer'], 0);
  assert.equal(outcomes.answered, 200, JSON.stringify({ outcomes, reasons }));
});

test('after an instance is killed others answer the calls and no request runs twice', async () => {
  // Guards against retries of requests whose outcome is unknown.
  const finish = mesh.startLoad(
    [...loadArguments, '--runId', 'kill', '--count', '400', '--durationS', '10'],
    ['s1', 's2'],
  );
  await mesh.waitUntil(
    's3 serves',
    5000,
    async () => (await mesh.instance('s3').state()).isServing === true,
  );
  await mesh.instance('s4').kill();
  const { outcomes, verification } = await finish();
  assert.equal(verification.violationCount, 0, JSON.stringify(verification.violations));
  assert.equal(outcomes['wrong-answer'], 0);
  assert.ok((outcomes.answered ?? 0) > 380, JSON.stringify(outcomes));
});

test('a planned stop of a node interrupts no request', async () => {
  // Guards against a node that exits while calls run, or that is still selected after it left.
  const finish = mesh.startLoad(
    [...loadArguments, '--runId', 'stop', '--count', '400', '--durationS', '10'],
    ['s1', 's2'],
  );
  await mesh.waitUntil(
    's3 serves',
    5000,
    async () => (await mesh.instance('s3').state()).isServing === true,
  );
  assert.equal(await mesh.instance('s3').node?.terminate(), 0);
  const { outcomes, verification } = await finish();
  assert.equal(verification.violationCount, 0, JSON.stringify(verification.violations));
  assert.equal(outcomes.answered, 400, JSON.stringify(outcomes));
});
