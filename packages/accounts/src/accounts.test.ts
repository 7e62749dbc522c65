import assert from 'node:assert/strict';
import { test } from 'node:test';
import { KeyVerdict, type ClientAccount } from '@sequoiafield/types';
import { AccountCheck, hashKey, RefusedKeyLog, type AccountsConfiguration } from './index.js';

const shop: ClientAccount = { name: 'shop', keyHashes: ['k-1', 'k-2'].map(hashKey) };
const depot: ClientAccount = { name: 'depot', keyHashes: ['k-3', 'k-1'].map(hashKey) };

let configuration: AccountsConfiguration | undefined;
let isOutdated = false;
const check = new AccountCheck({
  configuration: () => configuration,
  isOutdated: () => isOutdated,
});

/** Verdict and account of a request with each key. */
const results = (isPublic: boolean, ...keys: (string | undefined)[]): string[] =>
  keys.map((key) => {
    const { verdict, account } = check.check(key, { name: 'look', isPublic });
    return `${verdict} ${account?.name ?? '-'}`;
  });

test('only a key that the configuration in force holds opens a route that is not public', () => {
  // Guards against a request that runs without a key, with a part or the hash of one, or after its key
  // was withdrawn.
  configuration = { accounts: [shop, depot] };
  assert.deepEqual(results(false, 'k-1', 'k-3'), ['accepted shop', 'accepted depot']);
  const wrongKeys = ['k-', '', hashKey('k-1')];
  assert.deepEqual(new Set(results(false, ...wrongKeys)), new Set(['unknown -']));
  assert.deepEqual(results(false, undefined), ['missing -']);
  assert.deepEqual(results(true, 'k-3', 'k-', undefined), [
    ...['accepted depot', 'accepted -', 'accepted -'],
  ]);
  configuration = { accounts: [depot] };
  assert.deepEqual(results(false, 'k-2', 'k-1'), ['unknown -', 'accepted depot']);
});

test('a node whose configuration is missing or outdated calls no key unknown', () => {
  // Guards against 401 for a key that a newer configuration holds, which clients do not repeat.
  configuration = { accounts: [shop] };
  isOutdated = true;
  assert.deepEqual(results(false, 'k-3', undefined), ['undecided -', 'undecided -']);
  assert.deepEqual(results(false, 'k-1'), ['accepted shop']);
  isOutdated = false;
  configuration = undefined;
  assert.deepEqual(results(false, 'k-1'), [`${KeyVerdict.Undecided} -`]);
});

test('a configuration without accounts needs no key', () => {
  // Guards against deployments without accounts that refuse all requests.
  for (configuration of [{}, { accounts: [] }]) {
    assert.deepEqual(results(false, 'k-1', undefined), ['accepted -', 'accepted -']);
  }
});

test('refused keys are logged by count and route, at most once a second', () => {
  // Guards against a log that a client with a wrong key fills, and against a key in it.
  const lines: unknown[] = [];
  const log = new RefusedKeyLog({ log: ({ number }, fields) => lines.push([number, fields]) });
  for (const nowMs of [0, 100, 900, 1000, 9000]) {
    log.run({ nowMs });
    if (nowMs < 900) log.count('look', nowMs === 0);
  }
  assert.deepEqual(lines, [
    [1507, { withoutKey: 0, withUnknownKey: 1, routes: 'look' }],
    [1507, { withoutKey: 1, withUnknownKey: 1, routes: 'look' }],
  ]);
});
