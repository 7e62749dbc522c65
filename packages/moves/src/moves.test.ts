import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { SilentLogger } from '@sequoiafield/logger';
import {
  StoreNotWrittenError,
  type RangeStore,
  type StoreChanges,
  type StoreItem,
  type StoreRange,
  type StoreWrite,
  type WriteCondition,
  type WriteResult,
} from '@sequoiafield/store';
import { SeededRandom, TickLoop } from '@sequoiafield/tables';
import { pauseClock, SampleOrders, type PausedClock } from '@sequoiafield/test-kit';
import {
  MemberState,
  MoveOutcome,
  type DirectMessenger,
  type MemberRow,
  type MemberView,
  type RegisterEntry,
  type RegisterGossip,
} from '@sequoiafield/types';
import { createMoves, type MoveRecordCodec, type Moves } from './index.js';

const durationMs = 12_000;
const order = { service: 's', toVersion: 'v2', durationMs, revision: 10 };

let clock: PausedClock;

beforeEach(() => {
  clock = pauseClock();
});

afterEach(() => clock.resume());

const codec: MoveRecordCodec = {
  keyOf: (service) => `status/${service}`,
  encode: (record) => Buffer.from(JSON.stringify(record)),
  decode: ({ value, revision }) => ({
    ...JSON.parse(Buffer.from(value).toString('utf8')),
    revision,
  }),
};

/** Keeps one key under conditions; a test makes it fail. */
class RecordStore implements RangeStore {
  item: StoreItem | undefined;

  readonly outcomes: string[] = [];

  isDown = false;

  #revision = 20;

  readRange(): Promise<StoreRange> {
    return Promise.reject(new StoreNotWrittenError('not used'));
  }

  watchRange(): Promise<StoreChanges> {
    return Promise.reject(new StoreNotWrittenError('not used'));
  }

  async writeIf(
    [condition]: readonly WriteCondition[],
    [write]: readonly StoreWrite[],
  ): Promise<WriteResult> {
    if (this.isDown) throw new StoreNotWrittenError('down');
    if ((this.item?.revision ?? 0) !== condition?.revision) {
      return { kind: 'conflict', items: this.item ? [this.item] : [] };
    }
    this.#revision += 1;
    this.item = { key: write!.key, value: write!.value, revision: this.#revision };
    this.outcomes.push(codec.decode(this.item)!.outcome);
    return { kind: 'written', revision: this.#revision };
  }
}

/** What a version does with a call: its status and latency. */
type Behaviour = (input: {
  readonly route: string;
  readonly share: number;
  readonly elapsedMs: number;
  readonly roll: number;
}) => { readonly status: number; readonly latencyMs: number };

/** Six old and two new servers, each with its node, and the calls of their service. */
class MoveFleet {
  readonly store = new RecordStore();

  readonly orders = new SampleOrders();

  readonly nodes = new Map<string, Moves>();

  readonly calls = { old: 0, candidate: 0, bad: 0, candidateLate: 0 };

  readonly #rows: MemberRow[] = [];

  readonly #random = new SeededRandom(7);

  readonly #registers = new Map<string, RegisterEntry>();

  readonly #inboxes = new Map<string, (body: unknown, fromId: string) => void>();

  constructor(
    private readonly callsPerS: number,
    private readonly candidate: Behaviour,
    private readonly old: Behaviour = ({ roll }) => ({ status: 200, latencyMs: 30 + 60 * roll }),
  ) {
    for (let index = 0; index < 8; index++) this.#addRow(`n${index}`, index < 6 ? 'v1' : 'v2');
    for (const row of this.#rows) this.#addNode(row);
    this.orders.change({ moves: new Map([['s', order]]) });
  }

  async play(forMs: number): Promise<void> {
    const stepMs = 20;
    let badAtMs: number | undefined;
    for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += stepMs) {
      for (let call = 0; call < (this.callsPerS * stepMs) / 1000; call++) {
        const isBad = this.#call(elapsedMs, badAtMs);
        if (isBad) this.calls.bad += 1;
        if (this.calls.bad >= 50) badAtMs ??= elapsedMs;
      }
      await clock.advance(stepMs, stepMs);
    }
  }

  get outcome(): MoveOutcome | undefined {
    return this.store.item && codec.decode(this.store.item)!.outcome;
  }

  #call(elapsedMs: number, badAtMs: number | undefined): boolean {
    const caller = this.nodes.get(`n${this.#random.below(8)}`)!;
    const version = caller.view.chooseVersion('s', this.#random.next());
    const isNew = version === 'v2';
    const server = isNew ? `n${6 + this.#random.below(2)}` : `n${this.#random.below(6)}`;
    if (!this.nodes.get(server)!.view.isAllowed('s', version!)) return false;
    this.calls[isNew ? 'candidate' : 'old'] += 1;
    if (isNew && badAtMs !== undefined && elapsedMs > badAtMs + 5000) this.calls.candidateLate += 1;
    const route = this.#random.next() < 0.7 ? 'look' : 'add';
    const share = this.nodes.get('n0')!.view.statuses()[0]!.sharePercent / 100;
    const input = { route, share, elapsedMs, roll: this.#random.next() };
    const { status, latencyMs } = (isNew ? this.candidate : this.old)(input);
    const hasFailed = status >= 500;
    const evidence = {
      service: 's',
      route,
      backendVersion: version!,
      hasFailed,
      latencyMs,
      status,
    };
    this.nodes.get(server)!.recorder.recordEnded(evidence);
    return isNew && (hasFailed || latencyMs > 250);
  }

  #addRow(id: string, backendVersion: string): void {
    this.#rows.push({
      ...{ id, backendVersion, service: 's', dataCentre: 'a', incarnation: 1, address: id },
      ...{ gossipPort: 1, linkPort: 1, callPort: 1, region: 'r', state: MemberState.Alive },
      ...{ configVersion: 0, stateChangedAtMs: 0 },
    });
  }

  #addNode({ id, backendVersion }: MemberRow): void {
    const members: MemberView = {
      selfId: id,
      fleetSize: () => this.#rows.length,
      get: (other) => this.#rows.find((row) => row.id === other),
      all: () => this.#rows,
      ofService: () => this.#rows,
    };
    const registers: RegisterGossip = {
      publish: (entry) => {
        const known = this.#registers.get(entry.key);
        if (known && known.rank >= entry.rank) return false;
        this.#registers.set(entry.key, entry);
        return true;
      },
      read: (_, key) => this.#registers.get(key),
      subscribe: () => undefined,
    };
    const messenger: DirectMessenger = {
      send: (memberId, _, body) => this.#inboxes.get(memberId)?.(body, id),
      subscribe: (_, handler) => this.#inboxes.set(id, handler),
    };
    const moves = createMoves({
      ...{ selfId: id, orders: this.orders, members, registers, messenger, codec },
      store: this.store,
      ownServer: () => ({ service: 's', backendVersion, runningCalls: 0, isCold: false }),
      random: new SeededRandom(3),
      logger: new SilentLogger(),
    });
    this.nodes.set(id, moves);
    new TickLoop([...moves.systems], (_, error) => assert.fail(String(error))).start();
  }
}

const good: Behaviour = ({ roll }) => ({ status: 200, latencyMs: 25 + 70 * roll });

test('a good version is completed in time, and each outcome is written once', async () => {
  // Guards against a move that is late, and against judges that overwrite each other.
  const fleet = new MoveFleet(200, good);
  await fleet.play(durationMs);
  assert.deepEqual(fleet.store.outcomes, [MoveOutcome.Running, MoveOutcome.Completed]);
  assert.equal(fleet.nodes.get('n0')!.view.chooseVersion('s', 0.99), 'v2');
  assert.equal(fleet.nodes.get('n0')!.view.isAllowed('s', 'v1'), false);
});

test('a good version with the errors that every version has is completed', async () => {
  // Guards against a rollback because of failures that the old version shows as well.
  const noisy: Behaviour = ({ roll }) => ({ status: roll < 0.1 ? 500 : 200, latencyMs: 50 });
  const fleet = new MoveFleet(200, noisy, noisy);
  await fleet.play(durationMs);
  assert.equal(fleet.outcome, MoveOutcome.Completed);
});

const badVersions: Readonly<Record<string, Behaviour>> = {
  errors: ({ roll }) => ({ status: roll < 0.31 ? 500 : 200, latencyMs: 50 }),
  slow: ({ roll }) => ({ status: 200, latencyMs: roll < 0.43 ? 480 : 60 }),
  'under load': ({ roll, share }) => ({
    status: share >= 0.3 && roll < 0.5 ? 500 : 200,
    latencyMs: 50,
  }),
  'on one route': ({ roll, route }) => ({
    status: route === 'add' && roll < 0.4 ? 500 : 200,
    latencyMs: 50,
  }),
  late: ({ roll, elapsedMs }) => ({
    status: elapsedMs > 3000 && roll < 0.4 ? 500 : 200,
    latencyMs: 50,
  }),
};

for (const [name, behaviour] of Object.entries(badVersions)) {
  for (const callsPerS of [100, 300]) {
    test(`a version that is bad (${name}) at ${callsPerS} calls/s is rolled back`, async () => {
      // Guards against a bad version that gets more than a tenth and 50 calls, or any 5 s after it shows.
      const fleet = new MoveFleet(callsPerS, behaviour);
      await fleet.play(durationMs);
      assert.equal(fleet.outcome, MoveOutcome.RolledBack);
      const { candidate, old, candidateLate } = fleet.calls;
      assert.ok(candidate <= 0.1 * (candidate + old) + 50, `${candidate} of ${candidate + old}`);
      assert.equal(candidateLate, 0);
      assert.equal(fleet.nodes.get('n3')!.view.isAllowed('s', 'v2'), false);
    });
  }
}

test('a bad version gets nothing although the store is down', async () => {
  // Guards against a verdict that waits for the store.
  const fleet = new MoveFleet(200, badVersions.errors!);
  fleet.store.isDown = true;
  await fleet.play(durationMs / 2);
  assert.equal(fleet.nodes.get('n0')!.view.isAllowed('s', 'v2'), false);
  fleet.store.isDown = false;
  await fleet.play(2000);
  assert.equal(fleet.outcome, MoveOutcome.RolledBack);
});

test('a version that appears without an order gets nothing', () => {
  // Guards against servers that start a moment before their order arrives.
  const fleet = new MoveFleet(0, good);
  fleet.orders.change({ moves: new Map() });
  const { view } = fleet.nodes.get('n0')!;
  assert.equal(view.chooseVersion('s', 0), 'v1');
  assert.equal(view.isAllowed('s', 'v2'), false);
});

test('an outcome of an earlier order of the same version does not decide a new one', () => {
  // Guards against a second order of a version that was rolled back once.
  const fleet = new MoveFleet(0, good);
  const record = { service: 's', toVersion: 'v2', outcome: MoveOutcome.RolledBack, revision: 5 };
  fleet.orders.change({ moveRecords: new Map([['s', record]]) });
  assert.equal(fleet.nodes.get('n0')!.view.isAllowed('s', 'v2'), true);
});
