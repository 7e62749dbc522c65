import assert from 'node:assert/strict';
import { SilentLogger } from '@sequoiafield/logger';
import { SeededRandom, TickLoop } from '@sequoiafield/tables';
import { SampleOrders, type PausedClock } from '@sequoiafield/test-kit';
import {
  MemberState,
  type DirectMessenger,
  type MemberRow,
  type MemberView,
  type MoveOutcome,
  type RegisterEntry,
  type RegisterGossip,
} from '@sequoiafield/types';
import { createMoves, type Moves } from '../index.js';
import { jsonRecordCodec, FakeRecordStore } from './fake-record-store.js';

/** Duration of the order. */
export const orderDurationMs = 12_000;
/** Order of the move that the fixture runs. */
export const moveOrder = {
  service: 's',
  toVersion: 'v2',
  durationMs: orderDurationMs,
  revision: 10,
};

/** Returns the status and latency of a call to a version; `roll` is uniform in [0, 1). */
export type VersionBehaviour = (input: {
  readonly route: string;
  readonly share: number;
  readonly elapsedMs: number;
  readonly roll: number;
}) => { readonly status: number; readonly latencyMs: number };

/** Fixture of six old and two new servers, each with its node, and the calls of their service. */
export class MovesFixture {
  readonly store = new FakeRecordStore();

  readonly orders = new SampleOrders();

  readonly nodes = new Map<string, Moves>();

  /** Share of the calls to the old version that its nodes refuse, as under overload. */
  oldRefusedShare = 0;

  readonly calls = { old: 0, candidate: 0, bad: 0, candidateLate: 0 };

  readonly #rows: MemberRow[] = [];

  readonly #random = new SeededRandom(7);

  readonly #registers = new Map<string, RegisterEntry>();

  readonly #inboxes = new Map<string, (body: unknown, fromId: string) => void>();

  constructor(
    private readonly clock: PausedClock,
    private readonly callsPerS: number,
    private readonly candidate: VersionBehaviour,
    private readonly old: VersionBehaviour = ({ roll }) => ({
      status: 200,
      latencyMs: 30 + 60 * roll,
    }),
  ) {
    for (let index = 0; index < 8; index++) this.#addRow(`n${index}`, index < 6 ? 'v1' : 'v2');
    for (const row of this.#rows) this.#addNode(row);
    this.orders.change({ moves: new Map([['s', moveOrder]]) });
  }

  async runTraffic(durationMs: number): Promise<void> {
    const stepMs = 20;
    let badAtMs: number | undefined;
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
      for (let call = 0; call < (this.callsPerS * stepMs) / 1000; call++) {
        const isBad = this.#call(elapsedMs, badAtMs);
        if (isBad) this.calls.bad += 1;
        if (this.calls.bad >= 50) badAtMs ??= elapsedMs;
      }
      await this.clock.advance(stepMs, stepMs);
    }
  }

  get outcome(): MoveOutcome | undefined {
    return this.store.item && jsonRecordCodec.decode(this.store.item)!.outcome;
  }

  #call(elapsedMs: number, badAtMs: number | undefined): boolean {
    const caller = this.nodes.get(`n${this.#random.nextInt(8)}`)!;
    const version = caller.view.chooseVersion('s', this.#random.next());
    const isNew = version === 'v2';
    const server = isNew ? `n${6 + this.#random.nextInt(2)}` : `n${this.#random.nextInt(6)}`;
    if (!this.nodes.get(server)!.view.isAllowed('s', version!)) return false;
    if (!isNew && this.#random.next() < this.oldRefusedShare) return false;
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
      revision: () => 0,
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
      ...{ selfId: id, orders: this.orders, members, registers, messenger, codec: jsonRecordCodec },
      store: this.store,
      ownServer: () => ({ service: 's', backendVersion, runningCalls: 0, isCold: false }),
      random: new SeededRandom(3),
      logger: new SilentLogger(),
    });
    this.nodes.set(id, moves);
    new TickLoop([...moves.systems], (_, error) => assert.fail(String(error))).start();
  }
}
