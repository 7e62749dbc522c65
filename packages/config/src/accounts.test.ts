import assert from 'node:assert/strict';
import { test } from 'node:test';
import { hashKey } from '@sequoiafield/accounts';
import { Priority } from '@sequoiafield/types';
import {
  diffConfigurations,
  formatDifference,
  joinMesh,
  parseFolderFiles,
  parseSection,
  toSections,
  type LoadedFolder,
} from './index.js';

const load = (base: string, second = ''): LoadedFolder =>
  parseFolderFiles('conf', [
    { name: '10-base.ini', text: base },
    { name: '20-second.ini', text: second },
  ]);

const shopText =
  '[account shop]\nkeys = secret-1, secret-2\npriority = high\n[account depot]\nkeys =\n';

test('a key that two accounts hold is reported with both places, and no key is printed', () => {
  // Guards against a request that could belong to two accounts, and against keys in messages.
  const second = '[account copy]\npriority = low\nkeys = secret-3, secret-2\n';
  assert.throws(
    () => load(shopText, second),
    (error: Error) => {
      const expected =
        '20-second.ini:3: [account copy] has a key of [account shop]; expected each key in one ' +
        'account only; 10-base.ini:2 has it already';
      assert.equal(error.message.split('\n')[1], expected);
      return true;
    },
  );
  assert.throws(
    () => load('[account shop]\nkeys = secret 1\n'),
    (error: Error) =>
      /:2: keys of \[account shop\]/.test(error.message) && !/cret/.test(error.message),
  );
});

test('nodes get accounts with hashes of their keys, and diff shows no key', () => {
  // Guards against keys in the store, and against accounts that nodes never get.
  const { configuration } = load(shopText);
  const [meshBody] = toSections(configuration);
  const parsed = parseSection('mesh', meshBody!.body, meshBody!.digest);
  assert.ok(parsed.kind === 'mesh');
  assert.deepEqual(joinMesh(parsed.mesh, []).accounts, [
    { name: 'depot', keyHashes: [] },
    { name: 'shop', keyHashes: ['secret-1', 'secret-2'].map(hashKey), rank: Priority.High },
  ]);
  const changed = load(shopText.replace('secret-2', 'secret-4')).configuration;
  const lines = diffConfigurations(configuration, changed).map(formatDifference).join('\n');
  assert.match(lines, /^~ \[account shop\] keys = sha256:\w{12}, sha256:\w{12} -> sha256:/);
  assert.doesNotMatch(lines + meshBody!.body, /secret/);
});
