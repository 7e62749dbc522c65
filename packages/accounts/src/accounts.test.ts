import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SilentLogger, type Logger } from '@sequoiafield/logger';
import { SampleOrders } from '@sequoiafield/test-kit';
import type { ClientAccount } from '@sequoiafield/types';
import { AccountCheck, AccountDirectory, hashKey, RefusedKeyLog } from './index.js';

const shop: ClientAccount = { name: 'shop', keyHashes: ['k-1', 'k-2'].map(hashKey), rank: 0 };
const depot: ClientAccount = { name: 'depot', keyHashes: ['k-3', 'k-1'].map(hashKey) };
const keyed = { name: 'look' };
const open = { name: 'news', isPublic: true };

/** Check by sample orders whose accounts a test changes. */
class CheckFixture {
  readonly orders = new SampleOrders();

  readonly log = new RefusedKeyLog(new SilentLogger());

  isOutdated = false;

  readonly #check = new AccountCheck({
    configuration: () => this.orders.current().configuration,
    isOutdated: () => this.isOutdated,
    onRefused: (route, hasKey) => this.log.count(route, hasKey),
  });

  setAccounts(accounts: readonly ClientAccount[] | undefined): void {
    const { configuration } = this.orders.current();
    this.orders.change({ configuration: { ...configuration!, accounts } });
  }

  /** Returns the verdict and the account's name for a request of the keyed and of the public route. */
  results(key: string | undefined): readonly string[] {
    return [keyed, open].map((route) => {
      const { verdict, account } = this.#check.check(key, route);
      return `${verdict} ${account?.name ?? '-'}`;
    });
  }
}

test('a key is found by its hash only, and belongs to the first account that holds it', () => {
  // Guards against a prefix, a hash or an empty text that counts as a key.
  const directory = new AccountDirectory([shop, depot]);
  const names = ['k-1', 'k-3', 'k-', '', hashKey('k-1')].map((key) => directory.find(key)?.name);
  assert.deepEqual(names, ['shop', 'depot', undefined, undefined, undefined]);
});

test('a route that is not public needs a key that the configuration in force holds', () => {
  // Guards against a request that runs without a key or after its key was withdrawn.
  const fixture = new CheckFixture();
  fixture.setAccounts([shop]);
  assert.deepEqual(fixture.results('k-2'), ['accepted shop', 'accepted shop']);
  assert.deepEqual(fixture.results('k-3'), ['unknown -', 'accepted -']);
  assert.deepEqual(fixture.results(undefined), ['missing -', 'accepted -']);
  fixture.setAccounts([depot]);
  assert.deepEqual(fixture.results('k-2'), ['unknown -', 'accepted -']);
  assert.deepEqual(fixture.results('k-3'), ['accepted depot', 'accepted depot']);
  assert.deepEqual([fixture.log.withoutKey, fixture.log.withUnknownKey], [1, 2]);
});

test('a node whose configuration is missing or outdated calls no key unknown', () => {
  // Guards against 401 for a key that a newer configuration holds, which clients do not repeat.
  const fixture = new CheckFixture();
  fixture.setAccounts([shop]);
  fixture.isOutdated = true;
  assert.deepEqual(fixture.results('k-3'), ['undecided -', 'accepted -']);
  assert.deepEqual(fixture.results('k-1'), ['accepted shop', 'accepted shop']);
  fixture.orders.change({ configuration: undefined });
  fixture.isOutdated = false;
  assert.deepEqual(fixture.results('k-1'), ['undecided -', 'undecided -']);
  assert.equal(fixture.log.withUnknownKey, 0);
});

test('a configuration without accounts needs no key', () => {
  // Guards against deployments without accounts that refuse all requests.
  const fixture = new CheckFixture();
  for (const accounts of [undefined, []]) {
    fixture.setAccounts(accounts);
    assert.deepEqual(fixture.results('k-1'), ['accepted -', 'accepted -']);
    assert.deepEqual(fixture.results(undefined), ['accepted -', 'accepted -']);
  }
});

test('refused keys are logged by count and route, at most once a second', () => {
  // Guards against a log that a client with a wrong key fills, and against a key in it.
  const lines: unknown[] = [];
  const logger: Logger = { log: (event, fields) => lines.push([event.number, fields]) };
  const log = new RefusedKeyLog(logger);
  log.run({ nowMs: 0 });
  log.count('look', true);
  log.run({ nowMs: 100 });
  log.count('look', false);
  log.run({ nowMs: 200 });
  log.run({ nowMs: 1100 });
  log.run({ nowMs: 9000 });
  assert.deepEqual(lines, [
    [1507, { withoutKey: 0, withUnknownKey: 1, routes: 'look' }],
    [1507, { withoutKey: 1, withUnknownKey: 1, routes: 'look' }],
  ]);
});
