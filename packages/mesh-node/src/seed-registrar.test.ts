import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { SilentLogger } from '@sequoiafield/logger';
import { hashText32, type Membership } from '@sequoiafield/membership';
import type { RangeStore } from '@sequoiafield/store';
import { SeededRandom, TickLoop } from '@sequoiafield/tables';
import { pauseClock, type PausedClock } from '@sequoiafield/test-kit';
import type { Seed } from '@sequoiafield/types';
import { SeedRegistrar, seedsKey } from './seed-registrar.js';
import { decodeSeeds } from './seeds-record.js';
import { SeedsStore } from './test-support/seeds-store.js';

/** Fleet whose members know each other once one of them has contacted a seed that runs. */
class SeedsFleet {
  readonly store = new SeedsStore();

  readonly joined = new Set<string>();

  /** Era of the store that the nodes have seen. */
  storeEra = 0;

  constructor(count: number, firstIndex = 0) {
    for (let index = firstIndex; index < firstIndex + count; index++) this.#start(index);
  }

  #start(index: number): void {
    const self: Seed = { id: `n${index}`, address: `10.0.0.${index + 1}`, gossipPort: 7000 };
    const contact = (seeds: readonly Seed[]): void => {
      if (seeds.length === 0) return;
      this.joined.add(self.id);
      for (const { id } of seeds) this.joined.add(id);
    };
    const membership = {
      view: {
        fleetSize: () => (this.joined.has(self.id) ? this.joined.size : 1),
        get: () => undefined,
      },
      join: (seeds: readonly Seed[]) => Promise.resolve(contact(seeds)),
      pingSeeds: contact,
    } as unknown as Membership;
    const registrar = new SeedRegistrar({
      ...{ self, membership, store: this.store as unknown as RangeStore },
      ...{ random: new SeededRandom(hashText32(self.id)), logger: new SilentLogger() },
      storeEra: () => this.storeEra,
    });
    new TickLoop([registrar], (_, error) => assert.fail(String(error))).start();
  }
}

let clock: PausedClock;

beforeEach(() => {
  clock = pauseClock();
});

afterEach(() => clock.resume());

/** Starts a fleet at once and checks that it joins and what its store calls cost. */
const checkStart = async (count: number): Promise<void> => {
  const fleet = new SeedsFleet(count);
  await clock.advance(7000, 20);
  assert.equal(fleet.joined.size, count);
  const callsMax = 10 + 1.5 * count;
  assert.ok(fleet.store.pricedCalls <= callsMax, `${fleet.store.pricedCalls} calls`);
  await clock.advance(10_000, 20);
  const { seeds } = decodeSeeds(fleet.store.current());
  assert.ok(seeds.length >= Math.min(count, 3), `${seeds.length} seeds in the record`);
};

test('two nodes that start at once join within 7 s', async () => {
  // Guards against nodes that each wait for the other to write the record.
  await checkStart(2);
});

test('a fleet that starts at once joins within 7 s, with few store calls', async () => {
  // Guards against a start at which each node reads and writes the record, whose conflicts grow with
  // the square of the fleet.
  await checkStart(14);
});

test('a fleet of hundreds that starts at once joins within 7 s, with few store calls', async () => {
  // Guards against the same at the users' largest size.
  await checkStart(194);
});

test('the seeds that the copy of a restored store lacks are written again once', async () => {
  // Guards against a record that stays without the seeds of the fleet, and against a write of each seed.
  for (const lostVersions of [1, 100]) {
    const fleet = new SeedsFleet(14);
    await clock.advance(60_000, 20);
    const { seeds } = decodeSeeds(fleet.store.current());
    const { writes } = fleet.store;
    fleet.store.restore(lostVersions);
    fleet.storeEra = 1;
    await clock.advance(4000, 20);
    const restored = decodeSeeds(fleet.store.current()).seeds;
    assert.deepEqual(new Set(restored.map(({ id }) => id)), new Set(seeds.map(({ id }) => id)));
    assert.equal(fleet.store.writes - writes, 1);
  }
});

test('a record with odd entries is read without them and replaced', () => {
  // Guards against one odd entry that keeps a node from joining.
  const odd = [
    '[{"id":"a","address":"10.0.0.1","gossipPort":70000},{"id":"b","address":"10.0.0.2","gossipPort":1}]',
    '[null,7,"x",[[]],{"id":"b","address":"10.0.0.2","gossipPort":1}]',
  ];
  for (const text of odd) {
    const record = decodeSeeds({ key: seedsKey, value: Buffer.from(text), revision: 4 });
    assert.deepEqual(
      record.seeds.map(({ id }) => id),
      ['b'],
    );
  }
  for (const text of ['{}', '', '['.repeat(100_000), '\u0000']) {
    const record = decodeSeeds({ key: seedsKey, value: Buffer.from(text), revision: 4 });
    assert.deepEqual(record, { seeds: [], revision: 4 });
  }
});
