import { createSocket } from 'node:dgram';
import {
  decodeMessage,
  encodeMessage,
  encodeRegister,
  encodeRow,
  encodeStateRumour,
  GossipMessageType,
  rowToTuple,
  type GossipRow,
} from '@sequoiafield/membership';
import { SeededRandom } from '@sequoiafield/tables';
import {
  LinkRequestKind,
  MemberState,
  RegisterKind,
  type HeadRecord,
  type Manifest,
} from '@sequoiafield/types';
import type { BenchmarkStore } from '../convergence/benchmark-store.js';
import type { HttpLinks } from '../convergence/http-links.js';

/** What the generator makes the rest of the fleet do. */
export interface FleetSimulatorOptions {
  readonly memberCount: number;
  readonly serviceCount: number;
  /** Restarts of members in the whole fleet. */
  readonly restartsPerDay: number;
  /** Accepted configuration changes. */
  readonly changesPerDay: number;
  readonly seed: number;
}

interface Rumour {
  readonly bytes: Uint8Array;
  sendsLeft: number;
}

interface Address {
  readonly gossipPort: number;
  readonly address: string;
}

const dayMs = 86_400_000;
const regions = 3;
const dataCentres = 7;
const pageRows = 200;
const probeIntervalMs = 1000;
/** Pushes of an item that reach a node on average, as every node pushes to 4. */
const pushesPerItem = 4;
/** Times that a node hears an item on probes, at most; the send limit at 7,700 members. */
const piggybacksPerItem = 15;
const itemsBytes = 950;
/** Time from the death of a member until its next incarnation announces itself. */
const restartMs = 5000;

const deltaOf = (base: Manifest | undefined, target: Manifest, baseVersion: number): unknown => {
  const { configVersion } = target;
  if (!base) return { baseVersion: 0, configVersion, changed: target.sections, removed: [] };
  const changed = Object.entries(target.sections).filter(
    ([name, digest]) => base.sections[name] !== digest,
  );
  return { baseVersion, configVersion, changed: Object.fromEntries(changed), removed: [] };
};

/**
 * Plays the rest of the fleet towards one node: one socket answers for every member, probes the
 * node, pushes restarts and heads, and answers link requests.
 *
 * @example
 * const generator = new FleetSimulator(load, links, store);
 * const seed = await generator.listen(linkPort);
 * generator.start(node);
 */
export class FleetSimulator {
  readonly #socket = createSocket('udp4');

  readonly #rows: GossipRow[] = [];

  readonly #byId = new Map<string, GossipRow>();

  readonly #random: SeededRandom;

  readonly #rumours: Rumour[] = [];

  readonly #timers: NodeJS.Timeout[] = [];

  #node: Address | undefined;

  #registerHash = 0;

  #head: HeadRecord | undefined;

  #hasSentRows = false;

  constructor(
    private readonly load: FleetSimulatorOptions,
    private readonly links: HttpLinks,
    private readonly store: BenchmarkStore,
  ) {
    this.#random = new SeededRandom(load.seed);
  }

  /** Binds and fills the table; resolves with the address of a seed. */
  async listen(linkPort: number): Promise<Address> {
    await new Promise<void>((resolve) => {
      this.#socket.bind(0, '127.0.0.1', resolve);
    });
    const { port } = this.#socket.address();
    for (let index = 0; index < this.load.memberCount; index++) this.#addRow(index, port, linkPort);
    this.#socket.on('message', (bytes) => this.#receive(bytes));
    this.#handleLinks();
    return { address: '127.0.0.1', gossipPort: port };
  }

  /** Begins to probe the node and to change the fleet. */
  start(node: Address): void {
    this.#node = node;
    const restartGapMs = dayMs / this.load.restartsPerDay;
    const changeGapMs = dayMs / this.load.changesPerDay;
    this.#every(probeIntervalMs, () => this.#send(GossipMessageType.Ping, this.#anyRow(), 0));
    this.#every(restartGapMs, () => this.#restartOne());
    this.#every(changeGapMs, () => this.accept());
  }

  /** Accepts the next configuration version and pushes its head. */
  accept(): void {
    this.#head = this.store.accept();
    const rank = this.#head.configVersion;
    const entry = { kind: RegisterKind.Head, key: 'head', rank, body: this.#head };
    this.#push(encodeRegister(entry));
  }

  stop(): void {
    for (const timer of this.#timers) clearInterval(timer);
    this.#socket.close();
  }

  #addRow(index: number, gossipPort: number, linkPort: number): void {
    const dataCentre = index % dataCentres;
    // Old enough not to look like a mass restart.
    const incarnation = Date.now() - dayMs + index;
    const row: GossipRow = {
      id: `member-${String(index).padStart(5, '0')}`,
      incarnation,
      announcedIncarnation: incarnation,
      serverRevision: 0,
      refutation: 0,
      state: MemberState.Alive,
      configVersion: 0,
      address: '127.0.0.1',
      gossipPort,
      linkPort,
      callPort: 8000,
      region: `region-${dataCentre % regions}`,
      dataCentre: `data-centre-${dataCentre}`,
      service: `service-${index % this.load.serviceCount}`,
      backendVersion: 'v1',
      stateChangedAtMs: 0,
    };
    this.#rows.push(row);
    this.#byId.set(row.id, row);
  }

  #anyRow(): GossipRow {
    return this.#rows[this.#random.nextInt(this.#rows.length)] as GossipRow;
  }

  #every(intervalMs: number, action: () => void): void {
    this.#timers.push(setInterval(action, intervalMs));
  }

  /** A member is suspected, dies and comes back with a new incarnation. */
  #restartOne(): void {
    const row = this.#anyRow();
    const observers = [this.#anyRow().id, this.#anyRow().id];
    this.#spread(encodeStateRumour({ ...row, state: MemberState.Suspect, observers }));
    const incarnation = row.incarnation + 1;
    const restarted = { ...row, incarnation, announcedIncarnation: incarnation };
    const timer = setTimeout(() => {
      this.#rows[this.#rows.indexOf(row)] = restarted;
      this.#byId.set(row.id, restarted);
      this.#spread(encodeRow(restarted));
    }, restartMs);
    this.#timers.push(timer);
  }

  #spread(bytes: Uint8Array): void {
    this.#rumours.push({ bytes, sendsLeft: piggybacksPerItem });
    this.#push(bytes);
  }

  #push(bytes: Uint8Array): void {
    for (let push = 0; push < pushesPerItem; push++) {
      this.#send(GossipMessageType.Push, this.#anyRow(), 0, [bytes]);
    }
  }

  #takeRumours(): Uint8Array[] {
    const taken: Uint8Array[] = [];
    let usedBytes = 0;
    for (const rumour of [...this.#rumours].reverse()) {
      usedBytes += rumour.bytes.length;
      if (usedBytes > itemsBytes) break;
      rumour.sendsLeft -= 1;
      taken.push(rumour.bytes);
      if (rumour.sendsLeft === 0) this.#rumours.splice(this.#rumours.indexOf(rumour), 1);
    }
    return taken;
  }

  #send(type: GossipMessageType, from: GossipRow, sequence: number, items?: Uint8Array[]): void {
    if (!this.#node) return;
    const carried = items ?? [encodeRow(from), ...this.#takeRumours()];
    const bytes = encodeMessage({
      type,
      fromId: from.id,
      fromIncarnation: from.incarnation,
      headRank: this.#head?.configVersion ?? 0,
      // The node's own hash: registers are in step, so that no repair is part of the cost.
      registerHash: this.#registerHash,
      sequence,
      argument: null,
      items: carried,
    });
    this.#socket.send(bytes, this.#node.gossipPort, this.#node.address);
  }

  #receive(bytes: Uint8Array): void {
    const message = decodeMessage(bytes);
    this.#registerHash = message.registerHash;
    const target = this.#byId.get(String(message.argument)) ?? this.#anyRow();
    if (message.type === GossipMessageType.Ping)
      this.#send(GossipMessageType.Ack, target, message.sequence);
    if (message.type === GossipMessageType.PingRequest) {
      this.#send(GossipMessageType.IndirectAck, this.#anyRow(), message.sequence, []);
    }
  }

  #handleLinks(): void {
    const { links, store } = this;
    links.handle(LinkRequestKind.MemberDigests, () => this.#pages());
    links.handle(LinkRequestKind.MemberRows, (body) => {
      const [page] = (body as { buckets: number[] }).buckets;
      const start = (page ?? 0) * pageRows;
      const rows = this.#rows.slice(start, start + pageRows);
      return { rows: rows.map(rowToTuple), coveredBuckets: 1 };
    });
    links.handle(LinkRequestKind.ManifestDelta, (body) => {
      const { baseVersion } = body as { baseVersion: number };
      const target = this.#head && store.manifest(this.#head.configVersion);
      return target ? deltaOf(store.manifest(baseVersion), target, baseVersion) : null;
    });
    links.handle(LinkRequestKind.Sections, (body) => {
      const { digests } = body as { digests: string[] };
      return Object.fromEntries(digests.map((digest) => [digest, store.section(digest)]));
    });
  }

  /** Page numbers in place of buckets: the first pull takes all rows, later ones find no change. */
  #pages(): number[] {
    if (this.#hasSentRows) return [];
    this.#hasSentRows = true;
    return Array.from({ length: Math.ceil(this.#rows.length / pageRows) }, (_, page) => page);
  }
}
