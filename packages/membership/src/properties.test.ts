import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MembershipError } from '@sequoiafield/errors';
import { MemberState, RegisterKind } from '@sequoiafield/types';
import fc from 'fast-check';
import type { GossipRow } from './gossip-row.js';
import { MembersTable } from './members-table.js';
import { PushAndRepairPolicy } from './push-and-repair-policy.js';
import { RegisterTable } from './register-table.js';
import { itemOverheadBytes, RumourQueue } from './rumour-queue.js';
import { decodeItem, decodeMessage, encodeRow, GossipItemKind } from './wire.js';

const runs = { seed: 20261204, numRuns: 300 };

const makeRow = (
  id: string,
  incarnation: number,
  refutation: number,
  state: MemberState,
  raisedBy = 0,
): GossipRow => ({
  id,
  incarnation,
  announcedIncarnation: incarnation + raisedBy,
  serverRevision: 0,
  refutation,
  state,
  configVersion: incarnation,
  address: '10.0.0.1',
  gossipPort: 1,
  linkPort: 2,
  callPort: 3,
  region: 'r',
  dataCentre: 'd',
  service: `service-${incarnation % 2}`,
  backendVersion: 'v1',
  stateChangedAtMs: 0,
});

const rowArbitrary = fc
  .tuple(
    fc.constantFrom('a', 'b', 'c'),
    fc.integer({ min: 1, max: 3 }),
    fc.integer({ min: 0, max: 2 }),
    // Suspicion and death are each node's own conclusion and depend on what it heard.
    fc.constantFrom(MemberState.Joining, MemberState.Alive, MemberState.Draining, MemberState.Left),
    fc.integer({ min: 0, max: 2 }),
  )
  .map((parts) => makeRow(...parts));

const mergeAll = (rows: readonly GossipRow[]): MembersTable => {
  const table = new MembersTable(makeRow('self', 1, 0, MemberState.Alive));
  for (const row of rows) table.merge(row);
  return table;
};

const contentOf = (table: MembersTable): unknown =>
  [...table.rows.rows()]
    .map(({ id, announcedIncarnation, incarnation, refutation, state, configVersion }) => [
      id,
      announcedIncarnation,
      incarnation,
      refutation,
      state,
      configVersion,
    ])
    .sort();

test('member rows merge to the same table in any order, also when repeated', () => {
  // Guards against nodes that disagree for ever because rumours crossed.
  fc.assert(
    fc.property(
      fc.array(rowArbitrary, { maxLength: 20 }),
      fc.infiniteStream(fc.nat()),
      (rows, keys) => {
        const shuffled = [...rows, ...rows]
          .map((row) => ({ row, key: keys.next().value as number }))
          .sort((left, right) => left.key - right.key)
          .map(({ row }) => row);
        assert.deepEqual(contentOf(mergeAll(shuffled)), contentOf(mergeAll(rows)));
      },
    ),
    runs,
  );
});

test('the indexes agree with the rows after any merges', () => {
  // Guards against a member that stays listed under its former service or counted when it left.
  fc.assert(
    fc.property(fc.array(rowArbitrary, { maxLength: 20 }), (rows) => {
      const table = mergeAll(rows);
      const all = [...table.rows.rows()];
      const live = all.filter((row) => row.state < MemberState.Left);
      assert.equal(table.fleetSize(), live.length);
      for (const service of ['service-0', 'service-1']) {
        const expected = all.filter((row) => row.service === service).map(({ id }) => id);
        assert.deepEqual(
          table.ofService(service).map(({ id }) => id),
          expected.sort(),
        );
      }
    }),
    runs,
  );
});

test('registers end with the highest rank in any order, with equal hashes', () => {
  // Guards against a register that goes back when pushes are reordered or doubled.
  const entry = fc.record({
    kind: fc.constantFrom(RegisterKind.Head, RegisterKind.Stage, RegisterKind.Verdict),
    key: fc.constantFrom('x', 'y'),
    rank: fc.integer({ min: 1, max: 5 }),
    body: fc.constant(null),
  });
  fc.assert(
    fc.property(fc.array(entry, { maxLength: 20 }), (entries) => {
      const tables = [entries, [...entries].reverse()].map((order) => {
        const table = new RegisterTable('self', new PushAndRepairPolicy(), () => undefined);
        const heard = new Map<string, number>();
        table.subscribe(RegisterKind.Head, ({ key, rank }) => {
          assert.ok(rank > (heard.get(key) ?? 0));
          heard.set(key, rank);
        });
        for (const item of order) table.publish(item);
        return table;
      });
      assert.equal(tables[0]?.hash, tables[1]?.hash);
      for (const { kind, key } of entries) {
        const ranks = entries.filter((other) => other.kind === kind && other.key === key);
        const highest = Math.max(...ranks.map(({ rank }) => rank));
        assert.equal(tables[0]?.read(kind, key)?.rank, highest);
      }
    }),
    runs,
  );
});

test('rumours stay within the budget of a datagram and are each sent often enough', () => {
  // Guards against datagrams over the path MTU and against rumours that are never sent.
  fc.assert(
    fc.property(
      fc.array(fc.integer({ min: 1, max: 300 }), { minLength: 1, maxLength: 40 }),
      fc.integer({ min: 303, max: 1200 }),
      (sizes, budgetBytes) => {
        const queue = new RumourQueue();
        sizes.forEach((size, index) => queue.put(`key ${index}`, new Uint8Array(size)));
        const sends = new Map<Uint8Array, number>();
        for (let turn = 0; turn < 1000 && queue.size > 0; turn++) {
          const items = queue.take(budgetBytes, 3);
          const bytes = items.reduce((sum, item) => sum + item.length + itemOverheadBytes, 0);
          assert.ok(bytes <= budgetBytes);
          for (const item of items) sends.set(item, (sends.get(item) ?? 0) + 1);
        }
        assert.equal(queue.size, 0);
        assert.deepEqual(new Set(sends.values()), new Set([3]));
      },
    ),
    runs,
  );
});

test('any bytes decode or fail with the error of this layer', () => {
  // Guards against a datagram that throws something which nobody catches.
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
      for (const decode of [decodeMessage, decodeItem]) {
        try {
          decode(bytes);
        } catch (error) {
          assert.ok(error instanceof MembershipError);
        }
      }
    }),
    runs,
  );
});

test('a row survives the wire', () => {
  // Guards against fields that change places between encoder and decoder.
  fc.assert(
    fc.property(rowArbitrary, (row) => {
      assert.deepEqual(decodeItem(encodeRow(row)), { kind: GossipItemKind.Row, row });
    }),
    runs,
  );
});
