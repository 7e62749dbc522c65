import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { DistributionError } from '@sequoiafield/errors';
import { SilentLogger } from '@sequoiafield/logger';
import {
  HistoryGoneError,
  StoreNotWrittenError,
  type RangeStore,
  type StoreChange,
  type StoreChanges,
  type StoreItem,
  type StoreRange,
  type WriteResult,
} from '@sequoiafield/store';
import { monotonicNowMs, SeededRandom, TickLoop } from '@sequoiafield/tables';
import { pauseClock, SampleOrders, type PausedClock } from '@sequoiafield/test-kit';
import {
  MemberState,
  type LinkRequester,
  type MemberRow,
  type MemberView,
  type RegisterEntry,
  type RegisterGossip,
} from '@sequoiafield/types';
import { createOrders, OrderKind, OrdersTable, type Order, type Orders } from './index.js';

let clock: PausedClock;

beforeEach(() => {
  clock = pauseClock();
});

afterEach(() => clock.resume());

/** Decodes a text: `7` is version 7 of the configuration, `out:dc` an evacuation. */
const decodeText = ({ value }: StoreItem): Order => {
  const text = Buffer.from(value).toString('utf8');
  if (text.startsWith('out:')) return { kind: OrderKind.Evacuation, dataCentre: text.slice(4) };
  const version = Number(text);
  if (Number.isNaN(version)) throw new DistributionError('malformed');
  const { configuration } = new SampleOrders().current();
  return { kind: OrderKind.Configuration, configuration: { ...configuration!, version } };
};

const item = (key: string, text: string, revision: number): StoreItem => ({
  key,
  value: Buffer.from(text),
  revision,
});

const newTable = (): OrdersTable => new OrdersTable({ decode: decodeText }, new SilentLogger());

test('an older range or version never replaces a newer one', () => {
  // Guards against a proxy that goes back to an older configuration.
  const table = newTable();
  table.replaceAll({ items: [item('op/c', '7', 9)], storeRevision: 9 });
  table.replaceAll({ items: [item('op/c', '5', 4)], storeRevision: 5 });
  assert.equal(table.current().configuration?.version, 7);
  table.replaceAll({ items: [item('op/c', '6', 12)], storeRevision: 12 });
  assert.equal(table.current().configuration?.version, 7);
});

test('a malformed entry names nothing and the rest stays in force', () => {
  // Guards against one unreadable entry that takes the configuration with it.
  const table = newTable();
  table.replaceAll({ items: [item('op/c', '7', 9)], storeRevision: 9 });
  const items = [item('op/c', 'x', 11), item('op/e', 'out:dc', 10)];
  table.replaceAll({ items, storeRevision: 11 });
  assert.equal(table.current().configuration?.version, 7);
  assert.deepEqual([...table.current().evacuatedDataCentres], ['dc']);
});

test('removals travel with a delta', () => {
  // Guards against an evacuation that a node which did not watch never takes back.
  const [watcher, other] = [newTable(), newTable()];
  const items = [item('op/c', '7', 9), item('op/e', 'out:dc', 10)];
  [watcher, other].forEach((table) => table.replaceAll({ items, storeRevision: 10 }));
  const removal: StoreChange = { key: 'op/e', revision: 12, isRemoved: true };
  watcher.applyChanges({ changes: [removal], storeRevision: 12 });
  const delta = watcher.deltaSince(other.storeRevision);
  assert.equal(delta.items.length, 0);
  assert.equal(other.apply(delta), true);
  assert.equal(other.current().evacuatedDataCentres.size, 0);
});

/** Store of the operators in memory; a test makes it fail. */
class FakeStore implements RangeStore {
  calls = 0;

  failure: Error | undefined;

  isHistoryGone = false;

  readonly #items = new Map<string, StoreItem>();

  readonly #log: StoreChange[] = [];

  revision = 1;

  put(key: string, text: string): void {
    this.revision += 1;
    const written = item(key, text, this.revision);
    this.#items.set(key, written);
    this.#log.push(written);
  }

  async readRange(prefix: string): Promise<StoreRange> {
    this.#count();
    const items = [...this.#items.values()].filter(({ key }) => key.startsWith(prefix));
    return { items, storeRevision: this.revision };
  }

  async watchRange(_: string, afterRevision: number, waitMs: number): Promise<StoreChanges> {
    this.#count();
    const untilMs = monotonicNowMs() + waitMs;
    for (;;) {
      if (this.isHistoryGone) {
        this.isHistoryGone = false;
        throw new HistoryGoneError('gone');
      }
      const changes = this.#log.filter(({ revision }) => revision > afterRevision);
      const isOver = changes.length > 0 || monotonicNowMs() >= untilMs;
      if (isOver) return { changes, storeRevision: this.revision };
      await new Promise((resolve) => {
        setTimeout(resolve, 10);
      });
    }
  }

  writeIf(): Promise<WriteResult> {
    return Promise.reject(new StoreNotWrittenError('not used'));
  }

  #count(): void {
    this.calls += 1;
    if (this.failure) throw this.failure;
  }
}

type Handler = (body: unknown, fromId: string) => unknown;

/** A fleet of nodes that share registers and links at once. */
class Fleet {
  readonly nodes = new Map<string, { readonly orders: Orders; readonly store: FakeStore }>();

  readonly #handlers = new Map<string, Handler>();

  readonly #subscribers: ((entry: RegisterEntry, fromId: string) => void)[] = [];

  readonly #rows: MemberRow[] = [];

  #head: RegisterEntry | undefined;

  isLinked = true;

  constructor(places: readonly string[], storeOf: (id: string) => FakeStore) {
    places.forEach((place, index) => this.#addRow(`n${index}`, place));
    for (const { id } of this.#rows) this.#addNode(id, storeOf(id));
  }

  versions(): readonly (number | undefined)[] {
    return [...this.nodes.values()].map(
      ({ orders }) => orders.view.current().configuration?.version,
    );
  }

  #addRow(id: string, dataCentre: string): void {
    this.#rows.push({
      ...{ id, dataCentre, incarnation: 1, address: id, gossipPort: 1, linkPort: 1, callPort: 1 },
      ...{ region: 'r', service: '', backendVersion: '', state: MemberState.Alive },
      ...{ configVersion: 0, stateChangedAtMs: 0 },
    });
  }

  #addNode(id: string, store: FakeStore): void {
    const members: MemberView = {
      selfId: id,
      fleetSize: () => this.#rows.length,
      get: (other) => this.#rows.find((row) => row.id === other),
      all: () => this.#rows,
      ofService: () => [],
    };
    const orders = createOrders({
      ...{ store, members, ordersPrefix: 'op/', recordsPrefix: 'status/' },
      decoder: { decode: decodeText },
      registers: this.#registers(id),
      links: this.#links(id),
      random: new SeededRandom(Number(id.slice(1)) + 1),
      logger: new SilentLogger(),
      onChanged: () => undefined,
    });
    this.nodes.set(id, { orders, store });
    new TickLoop([...orders.systems], (_, error) => assert.fail(String(error))).start();
  }

  #registers(id: string): RegisterGossip {
    return {
      publish: (entry) => {
        if (entry.rank <= (this.#head?.rank ?? 0)) return false;
        this.#head = entry;
        this.#subscribers.forEach((handler) => handler(entry, id));
        return true;
      },
      read: () => this.#head,
      subscribe: (_, handler) => this.#subscribers.push(handler),
    };
  }

  #links(id: string): LinkRequester {
    return {
      handle: (_, handler) => this.#handlers.set(id, handler),
      request: async (member, _, body) => {
        if (!this.isLinked) throw new DistributionError('no link');
        return this.#handlers.get(member.id)?.(body, id);
      },
    };
  }
}

const places = ['a', 'a', 'a', 'b', 'b', 'b', 'c', 'c', 'c', 'd', 'd', 'd'];

test('a change is in force everywhere at once, at a call per data centre', async () => {
  // Guards against a watch of every node, whose calls grow with the fleet.
  const store = new FakeStore();
  store.put('op/c', '1');
  const fleet = new Fleet(places, () => store);
  await clock.advance(500);
  const before = store.calls;
  for (let version = 2; version <= 11; version++) {
    store.put('op/c', String(version));
    await clock.advance(100);
    assert.deepEqual(new Set(fleet.versions()), new Set([version]));
  }
  assert.ok(store.calls - before <= 10 * 4 + 8, `${store.calls - before} calls for 10 changes`);
});

test('nodes that the store turns away learn changes from the others', async () => {
  // Guards against stale nodes while the store serves only some machines, its watchers among them.
  const good = new FakeStore();
  const bad = new FakeStore();
  [good, bad].forEach((store) => store.put('op/c', '1'));
  const fleet = new Fleet(places, (id) => (Number(id.slice(1)) % 3 === 0 ? good : bad));
  await clock.advance(500);
  bad.failure = new StoreNotWrittenError('busy');
  await clock.advance(3000);
  good.put('op/c', '2');
  await clock.advance(1900);
  assert.deepEqual(new Set(fleet.versions()), new Set([2]));
});

test('a node without links reads the store in doubt and on its own', async () => {
  // Guards against a node that waits for peers which it cannot reach.
  const store = new FakeStore();
  store.put('op/c', '1');
  const fleet = new Fleet(places, () => store);
  await clock.advance(500);
  fleet.isLinked = false;
  store.put('op/c', '2');
  await clock.advance(1000);
  assert.deepEqual(new Set(fleet.versions()), new Set([2]));
});

test('a watch whose history is gone reads the range', async () => {
  // Guards against changes that were made while the history was dropped.
  const store = new FakeStore();
  store.put('op/c', '1');
  const fleet = new Fleet(['a'], () => store);
  await clock.advance(500);
  store.isHistoryGone = true;
  store.put('op/c', '2');
  await clock.advance(300);
  assert.deepEqual(fleet.versions(), [2]);
});
