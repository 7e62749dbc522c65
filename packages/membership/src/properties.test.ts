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

const propertyOptions = { seed: 20261204, numRuns: 300 };

const makeRow = (
  id: string,
  incarnation: number,
  refutation: number,
  state: MemberState,
  announcedOffset = 0,
  departedBornAtUnixMs = 0,
): GossipRow => ({
  id,
  incarnation,
  announcedIncarnation: incarnation + announcedOffset,
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
  ...(departedBornAtUnixMs > 0 && {
    departedServer: {
      instanceId: `i-${departedBornAtUnixMs % 3}`,
      bornAtUnixMs: departedBornAtUnixMs,
    },
  }),
});

const rowArbitrary = fc
  .tuple(
    fc.constantFrom('a', 'b', 'c'),
    fc.integer({ min: 1, max: 3 }),
    fc.integer({ min: 0, max: 2 }),
    // Each node concludes suspicion and death itself from the messages that it received.
    fc.constantFrom(MemberState.Joining, MemberState.Alive, MemberState.Draining, MemberState.Left),
    fc.integer({ min: 0, max: 2 }),
    fc.integer({ min: 0, max: 4 }),
  )
  .map((fields) => makeRow(...fields));

const mergeAll = (rows: readonly GossipRow[]): MembersTable => {
  const table = new MembersTable(makeRow('self', 1, 0, MemberState.Alive));
  for (const row of rows) table.merge(row);
  return table;
};

const contentOf = (table: MembersTable): unknown =>
  [...table.rows.rows()]
    .map((row) => [
      ...[row.id, row.announcedIncarnation, row.incarnation, row.refutation, row.state],
      ...[row.configVersion, row.departedServer?.bornAtUnixMs],
    ])
    .sort();

test('member rows merge to the same table in any order, also when repeated', () => {
  // Guards against nodes that disagree permanently because rumours arrived in different orders.
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
    propertyOptions,
  );
});

test('the indexes agree with the rows after any merges', () => {
  // Guards against a member that stays indexed under its former service or counted after it left.
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
    propertyOptions,
  );
});

test('registers end with the highest rank in any order, with equal hashes', () => {
  // Guards against a register that returns to a lower rank when pushes are reordered or duplicated.
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
        const highestRanks = new Map<string, number>();
        table.subscribe(RegisterKind.Head, ({ key, rank }) => {
          assert.ok(rank > (highestRanks.get(key) ?? 0));
          highestRanks.set(key, rank);
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
    propertyOptions,
  );
});

test('rumours stay within the byte budget and each is sent until its send limit is reached', () => {
  // Guards against datagrams over the path MTU and against rumours that are never sent.
  fc.assert(
    fc.property(
      fc.array(fc.integer({ min: 1, max: 300 }), { minLength: 1, maxLength: 40 }),
      fc.integer({ min: 303, max: 1200 }),
      (sizes, budgetBytes) => {
        const queue = new RumourQueue();
        sizes.forEach((size, index) => queue.put(`key ${index}`, new Uint8Array(size)));
        const sends = new Map<Uint8Array, number>();
        for (let attempt = 0; attempt < 1000 && queue.size > 0; attempt++) {
          const items = queue.take(budgetBytes, 3);
          const bytes = items.reduce((sum, item) => sum + item.length + itemOverheadBytes, 0);
          assert.ok(bytes <= budgetBytes);
          for (const item of items) sends.set(item, (sends.get(item) ?? 0) + 1);
        }
        assert.equal(queue.size, 0);
        assert.deepEqual(new Set(sends.values()), new Set([3]));
      },
    ),
    propertyOptions,
  );
});

test('any bytes decode or fail with a MembershipError', () => {
  // Guards against a datagram that causes an error which no caller catches.
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
    propertyOptions,
  );
});

test('a row is unchanged after encoding and decoding', () => {
  // Guards against fields in a different order in encoder and decoder.
  fc.assert(
    fc.property(rowArbitrary, (row) => {
      assert.deepEqual(decodeItem(encodeRow(row)), { kind: GossipItemKind.Row, row });
    }),
    propertyOptions,
  );
});
