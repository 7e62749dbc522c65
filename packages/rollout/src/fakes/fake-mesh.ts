import { SeededRandom, setMonotonicClock, type RandomSource } from '@sequoiafield/tables';
import {
  MemberState,
  tickIntervalMs,
  type MemberRow,
  type RegisterEntry,
  type Snapshot,
} from '@sequoiafield/types';
import { FakeNode, type FakeNodeOptions } from './fake-node.js';

/** Returns the delay in ms of each copy of a message that is delivered; empty if it is lost. */
export type FakeDeliveryModel = (
  from: FakeNode,
  to: FakeNode,
  random: RandomSource,
  isRegister: boolean,
) => readonly number[];

interface Delivery {
  readonly atMs: number;
  readonly toId: string;
  readonly run: (node: FakeNode) => void;
}

/** Time after which members that cannot be reached are dead. */
const deadAfterMs = 4000;
/** Nodes to which a new register entry is pushed. */
const pushFanOut = 4;
/** Delay of a message without faults. */
const defaultDelayMs = 5;

/**
 * Runs the rollouts of a few nodes in one process over fakes of gossip and messages, on a clock that
 * only `advance` changes. For tests and benchmarks of this package.
 *
 * @example
 * const mesh = new FakeMesh(1, Date.UTC(2026, 0, 1));
 * mesh.add({ id: 'a', dataCentre: 'dc-1', service: 'settlement', backendVersion: 'v1' });
 * mesh.snapshot = snapshot;
 * mesh.advance(1000);
 * mesh.close();
 */
export class FakeMesh {
  nowMs = 0;

  snapshot: Snapshot | undefined;

  network: FakeDeliveryModel = () => [defaultDelayMs];

  /** Returns whether a register accepts an entry; tests replace the comparison of ranks. */
  isAccepted = (known: RegisterEntry | undefined, entry: RegisterEntry): boolean =>
    !known || entry.rank > known.rank;

  /** Enables the counting in `sentBytes` and `receivedBytes`. */
  isCountingBytes = false;

  /** Bytes sent and received as JSON, by node. */
  readonly sentBytes = new Map<string, number>();

  readonly receivedBytes = new Map<string, number>();

  readonly random: RandomSource;

  readonly #nodes = new Map<string, FakeNode>();

  readonly #partitionedSinceMs = new Map<string, number>();

  #deliveries: Delivery[] = [];

  #rowsRevision = 0;

  readonly #rowsCache = new Map<string, { revision: number; rows: MemberRow[] }>();

  constructor(
    readonly seed: number,
    readonly startUnixMs: number,
  ) {
    this.random = new SeededRandom(seed);
    setMonotonicClock({ nowMs: () => this.nowMs });
  }

  get nowUnixMs(): number {
    return this.startUnixMs + this.nowMs;
  }

  nodes(): readonly FakeNode[] {
    return [...this.#nodes.values()];
  }

  node(id: string): FakeNode {
    const node = this.#nodes.get(id);
    if (!node) throw new RangeError(`Node "${id}" is not in the fake mesh`);
    return node;
  }

  /** Starts a node, or a new incarnation of the node with the same id. */
  add(options: FakeNodeOptions): FakeNode {
    this.#rowsRevision += 1;
    const node = new FakeNode(options, this.startUnixMs + this.nowMs, this);
    this.#nodes.set(options.id, node);
    return node;
  }

  restart(id: string): FakeNode {
    return this.add(this.node(id).options);
  }

  /** Partitions a data centre from all others, or ends its partition. */
  setPartitioned(dataCentre: string, isPartitioned: boolean): void {
    this.#rowsRevision += 1;
    if (isPartitioned) this.#partitionedSinceMs.set(dataCentre, this.nowMs);
    else this.#partitionedSinceMs.delete(dataCentre);
  }

  /** Members in the view of one node; those behind a partition are suspect at first, then dead. */
  membersSeenBy(viewer: FakeNode): MemberRow[] {
    const cached = this.#rowsCache.get(viewer.id);
    if (cached?.revision === this.#rowsRevision) return cached.rows;
    const rows = this.nodes()
      .map((node) => this.#rowOf(node, viewer))
      .sort((left, right) => (left.id < right.id ? -1 : 1));
    this.#rowsCache.set(viewer.id, { revision: this.#rowsRevision, rows });
    return rows;
  }

  /** Pushes an entry to a few random nodes, as gossip does; the others receive it by repair. */
  pushRegister(fromId: string, entry: RegisterEntry): void {
    const ids = [...this.#nodes.keys()].filter((id) => id !== fromId);
    for (let copies = 0; copies < pushFanOut && ids.length > 0; copies += 1) {
      const [id = ''] = ids.splice(this.random.nextInt(ids.length), 1);
      this.deliver(fromId, id, (receiver) => receiver.accept(entry, fromId), true);
    }
  }

  deliver(fromId: string, toId: string, run: (node: FakeNode) => void, isRegister = false): void {
    const from = this.#nodes.get(fromId);
    const to = this.#nodes.get(toId);
    if (!from || !to || this.#isPartitioned(from, to)) return;
    this.network(from, to, this.random, isRegister).forEach((delayMs) =>
      this.#deliveries.push({ atMs: this.nowMs + delayMs, toId, run }),
    );
  }

  /** Advances the clock in ticks of 100 ms; `beforeTick` adds traffic. */
  advance(durationMs: number, beforeTick: () => void = () => undefined): void {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += tickIntervalMs) {
      this.nowMs += tickIntervalMs;
      if (this.#partitionedSinceMs.size > 0) this.#rowsRevision += 1;
      beforeTick();
      this.#deliverDue();
      this.nodes()
        .filter((node) => !node.isPaused)
        .forEach((node) => node.tick());
      if (this.nowMs % 1000 === 0) this.#repairRegisters();
    }
  }

  /** Restores the real monotonic clock. */
  close(): void {
    setMonotonicClock();
  }

  #deliverDue(): void {
    const due = this.#deliveries.filter(({ atMs }) => atMs <= this.nowMs);
    this.#deliveries = this.#deliveries.filter(({ atMs }) => atMs > this.nowMs);
    due
      .sort((left, right) => left.atMs - right.atMs)
      .forEach(({ toId, run }) => {
        const node = this.#nodes.get(toId);
        if (node && !node.isPaused) run(node);
      });
  }

  /** Exchanges the registers of each node with those of one random other node, as probes do. */
  #repairRegisters(): void {
    const nodes = this.nodes().filter((node) => !node.isPaused);
    nodes.forEach((node) => {
      const peer = nodes[this.random.nextInt(nodes.length)];
      if (!peer || peer === node || this.#isPartitioned(node, peer)) return;
      [...node.entries.values()].forEach((entry) => peer.accept(entry, node.id));
      [...peer.entries.values()].forEach((entry) => node.accept(entry, peer.id));
    });
  }

  #isPartitioned(from: FakeNode, to: FakeNode): boolean {
    const dataCentres = [from.options.dataCentre, to.options.dataCentre];
    return (
      dataCentres[0] !== dataCentres[1] &&
      dataCentres.some((name) => this.#partitionedSinceMs.has(name))
    );
  }

  #rowOf(node: FakeNode, viewer: FakeNode): MemberRow {
    const isPartitioned = this.#isPartitioned(node, viewer);
    const sinceMs = Math.max(
      this.#partitionedSinceMs.get(node.options.dataCentre) ?? 0,
      this.#partitionedSinceMs.get(viewer.options.dataCentre) ?? 0,
    );
    const isDead = this.nowMs - sinceMs >= deadAfterMs;
    const unreachableState = isDead ? MemberState.Dead : MemberState.Suspect;
    return {
      ...node.announcement(),
      state: isPartitioned ? unreachableState : MemberState.Alive,
      configVersion: this.snapshot?.configVersion ?? 0,
      stateChangedAtMs: isDead ? sinceMs + deadAfterMs : sinceMs,
    };
  }
}
