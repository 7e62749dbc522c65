import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { SilentLogger } from '@sequoiafield/logger';
import type { StoreItem } from '@sequoiafield/store';
import { pauseClock, type PausedClock } from '@sequoiafield/test-kit';
import { OrderKind, OrdersTable, type Order } from './index.js';
import {
  createTextItem,
  decodeOrderText,
  FakeRangeStore,
} from './test-support/fake-range-store.js';
import { OrdersFixture } from './test-support/orders-fixture.js';

let clock: PausedClock;

beforeEach(() => {
  clock = pauseClock();
});

afterEach(() => clock.resume());

/** Decodes a text that begins with `v` as a move order to that version. */
const decode = (item: StoreItem): Order => {
  const text = Buffer.from(item.value).toString('utf8');
  if (!text.startsWith('v')) return decodeOrderText(item);
  const move = { service: 's', toVersion: text, durationMs: 1000, revision: item.revision };
  return { kind: OrderKind.Move, move };
};

const newTable = (): OrdersTable => new OrdersTable({ decode }, new SilentLogger());

const outOf = (table: OrdersTable): readonly string[] => [...table.current().evacuatedDataCentres];

const read = async (table: OrdersTable, store: FakeRangeStore): Promise<boolean> =>
  table.replaceAll(await store.readRange(''));

/** Store with a configuration at revision 2 and a table that has read it. */
const startTable = async (): Promise<[OrdersTable, FakeRangeStore]> => {
  const [table, store] = [newTable(), new FakeRangeStore()];
  store.put('op/c', '7');
  await read(table, store);
  return [table, store];
};

/** Peers that fetch from each other, as the exchange does. */
const fetchFrom = (table: OrdersTable, peer: OrdersTable): boolean => {
  const { storeRevision, era } = table;
  const since = era.isUninformed ? 0 : storeRevision;
  const delta = peer.deltaSince(since, era.formerRevision || undefined);
  return table.isCompleteAfter(delta) && table.applyDelta(delta);
};

test('what the copy lacks stays for 15 s and is then withdrawn', async () => {
  // Guards against an evacuation or an order that ends because the store lost it.
  const [table, store] = await startTable();
  store.put('op/c', '8');
  store.put('op/e', 'out:a');
  store.put('op/r', 'v2');
  await read(table, store);
  store.restore(3);
  assert.equal(await read(table, store), true, 'peers must learn of the new era');
  assert.equal(table.unconfirmedCount, 3);
  assert.equal(table.current().configuration?.version, 8);
  await clock.advance(14_900);
  table.applyChanges({ changes: [], storeRevision: store.revision });
  assert.deepEqual(outOf(table), ['a']);
  assert.equal(table.current().moves.get('s')?.revision, 5);
  await clock.advance(200);
  assert.equal(table.applyChanges({ changes: [], storeRevision: store.revision }), true);
  assert.deepEqual([outOf(table), table.current().moves.size], [[], 0]);
  assert.equal(table.current().configuration?.version, 8, 'an older one never takes its place');
  store.put('op/e', 'out:a');
  await read(table, store);
  assert.deepEqual(outOf(table), ['a']);
});

test('what is written again in time stays, also as the same order, and can be removed again', async () => {
  // Guards against a move that starts again, and against an entry that is kept after its removal.
  const [table, store] = await startTable();
  store.put('op/e', 'out:a');
  store.put('op/r', 'v2');
  await read(table, store);
  store.restore(2);
  await read(table, store);
  ['x', 'y', 'z'].forEach((key) => store.put(key, '1'));
  store.put('op/r', 'v2');
  store.put('op/e', 'out:a');
  await read(table, store);
  await clock.advance(16_000);
  table.applyChanges({ changes: [], storeRevision: store.revision });
  assert.deepEqual(outOf(table), ['a']);
  assert.equal(table.current().moves.get('s')?.revision, 4);
  assert.equal(table.unconfirmedCount, 0);
  store.remove('op/e');
  store.put('op/r', 'v2');
  await read(table, store);
  assert.deepEqual(outOf(table), []);
  assert.equal(table.current().moves.get('s')?.revision, store.revision, 'a new order');
});

test('an entry that the copy had and that is then removed ends at once', async () => {
  // Guards against a removal after the restore that waits for 15 s.
  const [table, store] = await startTable();
  store.put('op/e', 'out:a');
  await read(table, store);
  store.put('x', '1');
  store.restore(1);
  await read(table, store);
  store.remove('op/e');
  await read(table, store);
  assert.deepEqual(outOf(table), []);
});

test('an entry of the copy whose removal was seen stays removed until it is written again', async () => {
  // Guards against an evacuation that the copy brings back.
  const [table, store] = await startTable();
  store.put('op/e', 'out:a');
  await read(table, store);
  store.remove('op/e');
  await read(table, store);
  store.restore(1);
  await read(table, store);
  assert.deepEqual(outOf(table), []);
  store.put('op/e', 'out:a');
  await read(table, store);
  assert.deepEqual(outOf(table), ['a']);
});

test('what is written before the first answer of the era is not mistaken for the copy if that is certain', async () => {
  // Guards against a new evacuation or configuration that is ignored since its revision was lost before.
  const [table, store] = await startTable();
  store.put('op/r', 'v2');
  store.put('op/c', '8');
  await read(table, store);
  store.restore(2);
  store.put('op/c', '9');
  store.put('op/r', 'v3');
  store.put('op/e', 'out:a');
  await read(table, store);
  assert.equal(table.current().configuration?.version, 9);
  assert.equal(table.current().moves.get('s')?.toVersion, 'v3');
  assert.deepEqual(outOf(table), ['a']);
});

test('a node that starts during the drill takes over what its peers hold', async () => {
  // Guards against a copy that comes back through a node without a memory of the former era.
  const [table, store] = await startTable();
  store.put('op/e', 'out:a');
  store.put('op/r', 'v2');
  await read(table, store);
  store.put('op/c', '8');
  store.remove('op/e');
  store.put('op/f', 'out:b');
  await read(table, store);
  store.restore(3);
  await read(table, store);
  const started = newTable();
  await read(started, store);
  assert.deepEqual(outOf(started), ['a']);
  fetchFrom(table, started);
  assert.deepEqual([outOf(table), table.current().configuration?.version], [['b'], 8]);
  fetchFrom(started, table);
  assert.deepEqual([outOf(started), started.current().configuration?.version], [['b'], 8]);
  assert.equal(started.current().moves.get('s')?.revision, 4, 'orders have one identity');
  assert.equal(started.era.isUninformed, false);
  store.put('op/r', 'v3');
  await read(started, store);
  fetchFrom(table, started);
  assert.equal(table.current().moves.get('s')?.revision, store.revision);
});

test('the entries of a later era replace those of a node that sees it late', async () => {
  // Guards against a partitioned node that brings lost entries back or rejects what its peers have.
  const [table, store] = await startTable();
  const late = newTable();
  await read(late, store);
  late.applyDelta({
    storeRevision: 6,
    keys: ['op/c', 'op/g'],
    items: [createTextItem('op/g', 'out:g', 6)],
  });
  store.put('op/e', 'out:a');
  await read(table, store);
  store.restore(1);
  await read(table, store);
  store.put('op/c', '9');
  await read(table, store);
  assert.equal(fetchFrom(late, table), true);
  assert.equal(late.current().configuration?.version, 9);
  assert.deepEqual(new Set(outOf(late)), new Set(['a', 'g']), 'it alone has seen g');
  fetchFrom(table, late);
  await clock.advance(15_100);
  table.applyChanges({ changes: [], storeRevision: store.revision });
  late.applyDelta(table.deltaSince(0));
  late.applyChanges({ changes: [], storeRevision: store.revision });
  assert.deepEqual([outOf(late), outOf(table)], [[], []]);
});

test('a fleet keeps its orders through two restores and follows new ones', async () => {
  // Guards against announced revisions, deltas or watches that stop at the old revisions.
  const store = new FakeRangeStore();
  store.put('op/c', '1');
  const fixture = new OrdersFixture(['a', 'a', 'b', 'b', 'c', 'c'], () => store);
  await clock.advance(2200);
  for (const version of [2, 4]) {
    store.put('op/c', String(version));
    await clock.advance(1000);
    store.restore(1);
    await clock.advance(3000);
    assert.deepEqual(new Set(fixture.versions()), new Set([version]));
    store.put('op/c', String(version + 1));
    await clock.advance(400);
    assert.deepEqual(new Set(fixture.versions()), new Set([version + 1]));
  }
  const eras = [...fixture.nodes.values()].map(({ orders }) => orders.storeEra());
  assert.deepEqual(new Set(eras), new Set([2]));
});
