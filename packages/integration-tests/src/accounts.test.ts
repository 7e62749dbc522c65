import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { LocalMesh } from '@sequoiafield/stand-ins';
import { buildBundles } from './build.js';
import { buildSettlementConfiguration, planSettlementInstances } from './configurations.js';

const instances = planSettlementInstances(['ath-1', 'ath-2']);
const accountText = (keys: string): string => `[account shop]\nkeys = ${keys}\npriority = high\n`;

let mesh: LocalMesh;

before(async () => {
  mesh = new LocalMesh({ distFolder: buildBundles(), instances });
  await mesh.start();
});

after(() => mesh.stop());

const apply = async (version: number, keys: string, others = ''): Promise<void> => {
  const files = buildSettlementConfiguration({ 'ath-1': 'in', 'ath-2': 'in' });
  const applied = await mesh.apply({ ...files, '40-accounts.ini': accountText(keys) + others });
  assert.equal(applied.code, 0, applied.log);
  await mesh.waitForActiveConfiguration(version);
};

/** Statuses that both nodes answer to a lookup with this key. */
const statuses = (key: string): Promise<number[]> =>
  Promise.all(
    instances.map(async ({ id }) => {
      const headers = { 'x-sequoiafield-account-key': key };
      const { status } = await fetch(`${mesh.instance(id).callUrl}/tabs/1`, { headers });
      return status;
    }),
  );

test('nodes follow the keys of a configuration folder', async () => {
  // Guards against accounts that are checked and accepted but have no effect on the nodes.
  await apply(1, 'secret-1, secret-2');
  await mesh.waitUntil('both nodes serve', 10_000, async () =>
    (await statuses('secret-1')).every((status) => status === 200),
  );
  assert.deepEqual(await statuses('wrong'), [401, 401]);
  await apply(2, 'secret-2, secret-3');
  assert.deepEqual(await statuses('secret-1'), [401, 401]);
  assert.deepEqual(await statuses('secret-3'), [200, 200]);
  await apply(3, 'secret-3', '[route settlement-get]\npublic = yes\n');
  assert.deepEqual(await statuses('wrong'), [200, 200]);
});
