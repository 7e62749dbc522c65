import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import { LocalMesh } from '@sequoiafield/stand-ins';
import { buildBundles } from './build.js';
import { buildSettlementConfiguration, planSettlementInstances } from './configurations.js';

const instances = planSettlementInstances(['ath-1', 'ath-2']);
const mesh = new LocalMesh({ distFolder: buildBundles(), instances });

after(() => mesh.stop());

const apply = async (version: number, keys: string, others = ''): Promise<void> => {
  const files = buildSettlementConfiguration({ 'ath-1': 'in', 'ath-2': 'in' });
  const accounts = `[account shop]\nkeys = ${keys}\n${others}`;
  const applied = await mesh.apply({ ...files, '40-accounts.ini': accounts });
  assert.equal(applied.code, 0, applied.log);
  await mesh.waitForActiveConfiguration(version);
};

/** Statuses that the nodes answer to a lookup with this key. */
const statuses = (key: string): Promise<number[]> =>
  Promise.all(
    instances.map(async ({ id }) => {
      const headers = { 'x-sequoiafield-account-key': key };
      return (await fetch(`${mesh.instance(id).callUrl}/tabs/1`, { headers })).status;
    }),
  );

test('nodes follow the keys of a configuration folder', async () => {
  // Guards against accounts that are checked and accepted but have no effect on the nodes.
  await mesh.start();
  await apply(1, 'secret-1');
  const isServed = async () => (await statuses('secret-1')).every((status) => status === 200);
  await mesh.waitUntil('both nodes serve', 10_000, isServed);
  await apply(2, 'secret-2');
  assert.deepEqual(await statuses('secret-1'), [401, 401]);
  assert.deepEqual(await statuses('secret-2'), [200, 200]);
  await apply(3, 'secret-2', '[route settlement-get]\npublic = yes\n');
  assert.deepEqual(await statuses('wrong'), [200, 200]);
});
