import assert from 'node:assert/strict';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, test } from 'node:test';
import { matchSnapshot } from '@sequoiafield/test-kit';
import { loadNodeSettings, loadStoreSettings } from './index.js';

const requiredSettings = `[node]
id = lager-1
address = 10.0.0.1
region = norr
data_centre = sto-1
gossip_port = 7001
link_port = 7002
call_port = 0
admin_port = 7003
[backend_server]
service = lager
version = v1
port = 8080
[store]
url = http://127.0.0.1:7070/
`;

let folder = '';
before(async () => {
  folder = await mkdtemp(join(tmpdir(), 'sequoiafield-'));
  await writeFile(join(folder, 'node.ini'), requiredSettings);
});
after(() => rm(folder, { recursive: true }));

const messageOf = (result: Promise<unknown>): Promise<string> =>
  result.then(
    () => 'accepted',
    (error: Error) => error.message.replaceAll(`${folder}/`, ''),
  );

const loadText = async (text: string, env: Record<string, string> = {}): Promise<string> => {
  const file = join(folder, 'other.ini');
  await writeFile(file, text);
  return messageOf(loadNodeSettings({ file, env }));
};

test('flags override the environment, which overrides the file', async () => {
  // Guards against a source that silently overrides one of higher precedence.
  const settings = await loadNodeSettings({
    file: join(folder, 'node.ini'),
    env: {
      PATH: '/bin',
      SEQUOIAFIELD_NODE_DATA_CENTRE: 'sto-2',
      SEQUOIAFIELD_NODE_GOSSIP_PORT: '8001',
      SEQUOIAFIELD_BACKEND_SERVER_HEALTH_PATH: '/ready',
      SEQUOIAFIELD_GOSSIP_SEEDS: '10.0.0.2:7001, [::1]:7001',
      SEQUOIAFIELD_ROUTING_SERVICES: 'produktion,utkorning',
    },
    overrides: { 'node.gossip_port': '0', 'node.id': undefined },
  });
  matchSnapshot(import.meta.filename, 'settings', settings);
});

test('invalid settings are rejected with the source of each value', async () => {
  // Guards against a node that starts with a mistyped setting.
  const invalidSettings = requiredSettings
    .replace('10.0.0.1', 'host-1')
    .replace('7001', '70010')
    .replace('port = 8080', 'port = 0')
    .replace('call_port = 0\n', '');
  const message = await loadText(`${invalidSettings}timeout_s = 1\n[metrics]\nport = 1\n`, {
    SEQUOIAFIELD_LOG_LEVEL: 'loud',
    SEQUOIAFIELD_NODE_ADMIN_TOKEN: 'a b',
    SEQUOIAFIELD_GOSSIP_SEEDS: 'seed.example:7001',
  });
  matchSnapshot(import.meta.filename, 'rejected settings', message);
});

test('an admin address that is not loopback requires a token', async () => {
  // Guards against an admin interface that the network can reach without a token.
  const openAdminSettings = requiredSettings.replace(
    '[backend_server]',
    'admin_address = 10.0.0.1\n[backend_server]',
  );
  matchSnapshot(import.meta.filename, 'admin without a token', await loadText(openAdminSettings));
  assert.equal(
    await loadText(openAdminSettings, { SEQUOIAFIELD_NODE_ADMIN_TOKEN: 'secret' }),
    'accepted',
  );
  const loopbackAdminSettings = openAdminSettings.replace(
    'admin_address = 10.0.0.1',
    'admin_address = 127.0.0.9',
  );
  assert.equal(await loadText(loopbackAdminSettings), 'accepted');
});

test('operator commands read only section [store]', async () => {
  // Guards against operator commands that require the settings of a node.
  const url = 'http://127.0.0.1:9';
  assert.deepEqual(await loadStoreSettings({ overrides: { 'store.url': url } }), {
    url,
    timeoutMs: 1000,
  });
  assert.equal(await loadStoreSettings({ env: {} }), undefined);
  await assert.rejects(loadStoreSettings({ env: { SEQUOIAFIELD_STORE_URL: 'store' } }), /a URL/);
});
