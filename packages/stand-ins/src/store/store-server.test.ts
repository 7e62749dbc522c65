import assert from 'node:assert/strict';
import { after, before, beforeEach, test } from 'node:test';
import { HttpStore } from '@sequoiafield/store';
import { matchSnapshot } from '@sequoiafield/test-kit';
import { StoreFaultEffect, StoreOperation, StoreServer, type StoreFaultRule } from './index.js';

// Only requests that must time out use the short timeout, so that a busy machine does not change a
// result.
const longTimeoutMs = 20_000;
const shortTimeoutMs = 300;
let server: StoreServer;
let store: HttpStore;
let shortTimeoutStore: HttpStore;

before(async () => {
  server = new StoreServer();
  const url = await server.listen('127.0.0.1', 0);
  store = new HttpStore({ url, timeoutMs: longTimeoutMs });
  shortTimeoutStore = new HttpStore({ url, timeoutMs: shortTimeoutMs });
});
after(async () => {
  await shortTimeoutStore.close();
  await store.close();
  await server.close();
});
beforeEach(() => server.faults.replace([]));

const describeResult = (result: Promise<unknown>): Promise<string> =>
  result.then(
    (value) => JSON.stringify(value),
    (error: Error) => error.name,
  );

const createFaultRule = (effect: StoreFaultEffect, keyPrefix: string): StoreFaultRule => ({
  effect,
  operation: StoreOperation.Any,
  keyPrefix,
  delayMs: 5 * shortTimeoutMs,
  remaining: 2,
});

test('compare-and-swap, leases and watches work over HTTP', async () => {
  // Guards against a store adapter and a stand-in that implement different protocols.
  const key = 'sequoiafield/a key/ü';
  const value = '{"text":"\\u0000 ü"}';
  const watched = store.watch(key, 0, 2000);
  const results = {
    absent: await store.get(key),
    wrongRevision: await store.compareAndSwap(key, 7, value),
    written: await store.compareAndSwap(key, 0, value),
    conflict: await store.compareAndSwap(key, 0, 'other'),
    read: await store.get(key),
    watched: await watched,
    nothingNewer: await store.watch(key, 1, 20),
    lease: await store.grantLease(1000),
    held: await store.keepLease('lease-1'),
    expired: await store.keepLease('lease-9'),
    tooLarge: await describeResult(store.compareAndSwap('big', 0, 'x'.repeat(1024 * 1024 + 1))),
    counters: server.counters,
  };
  matchSnapshot(import.meta.filename, 'protocol', results);
});

test('each fault is reported correctly as "not written" or "outcome unknown"', async () => {
  // Guards against a write that takes effect but is reported as "not written".
  const rows: string[] = [];
  for (const effect of Object.values(StoreFaultEffect)) {
    if (effect === StoreFaultEffect.Delay) continue;
    const client = effect === StoreFaultEffect.Hang ? shortTimeoutStore : store;
    const key = `fault/${effect}`;
    server.faults.replace([createFaultRule(effect, key)]);
    const write = await describeResult(client.compareAndSwap(key, 0, 'value'));
    const read = await describeResult(client.get(key));
    const isWritten = server.table.get(key) !== undefined;
    if (write === 'StoreNotWrittenError') assert.equal(isWritten, false);
    rows.push(`${effect}: write ${write}, read ${read}, written ${isWritten}`);
  }
  matchSnapshot(import.meta.filename, 'faults', rows.join('\n'));
});

test('a key is deleted over HTTP only with its current revision', async () => {
  // Guards against a late delete that removes a newer value of the key.
  const first = await store.compareAndSwap('deleted', 0, 'v');
  const revision = first.kind === 'written' ? first.revision : 0;
  const current = { value: 'v', revision };
  assert.deepEqual(await store.compareAndDelete('deleted', revision + 1), {
    kind: 'conflict',
    current,
  });
  assert.deepEqual(await store.compareAndDelete('deleted', revision), { kind: 'deleted' });
  assert.equal(await store.get('deleted'), undefined);
  assert.deepEqual(await store.compareAndDelete('deleted', revision), {
    kind: 'conflict',
    current: undefined,
  });
});

test('a delayed write takes effect after the client has timed out', async () => {
  // Guards against a stand-in that drops the delayed write, so that no test covers a write that
  // takes effect after its client reported "outcome unknown".
  server.faults.replace([createFaultRule(StoreFaultEffect.Delay, 'late')]);
  const write = shortTimeoutStore.compareAndSwap('late', 0, 'v');
  assert.equal(await describeResult(write), 'StoreOutcomeUnknownError');
  const entry = await server.table.watch('late', 0, longTimeoutMs);
  assert.equal(entry?.value, 'v');
});

test('a store that does not listen and a 404 from another server are errors', async () => {
  // Guards against a wrong address that looks like an empty store, after which versions would
  // restart at version 1.
  const closedServer = new StoreServer();
  const url = await closedServer.listen('127.0.0.1', 0);
  await closedServer.close();
  const unreachable = new HttpStore({ url, timeoutMs: longTimeoutMs });
  assert.equal(await describeResult(unreachable.get('a')), 'StoreNotWrittenError');
  assert.equal(
    await describeResult(unreachable.compareAndSwap('a', 0, 'v')),
    'StoreNotWrittenError',
  );
  await unreachable.close();
  await assert.rejects(store.get('../other'), /unexpected status 404/);
});
