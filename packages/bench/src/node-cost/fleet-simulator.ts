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

/** Size and churn of the simulated fleet. */
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
const regionCount = 3;
const dataCentreCount = 7;
const rowsPerPage = 200;
const probeIntervalMs = 1000;
/** Average number of pushes of an item that reach a node, since every node pushes to 4 peers. */
const pushesPerItem = 4;
/** Highest number of probes on which a node receives an item: the send limit at 7,700 members. */
const piggybacksPerItemMax = 15;
const itemsMaxBytes = 950;
/** Time from the suspicion of a member until its next incarnation is announced. */
const restartDelayMs = 5000;

const createManifestDelta = (
  base: Manifest | undefined,
  target: Manifest,
  baseVersion: number,
): unknown => {
  const { configVersion } = target;
  if (!base) return { baseVersion: 0, configVersion, changed: target.sections, removed: [] };
  const changed = Object.entries(target.sections).filter(
    ([name, digest]) => base.sections[name] !== digest,
  );
  return { baseVersion, configVersion, changed: Object.fromEntries(changed), removed: [] };
};

/**
 * Simulates the rest of the fleet for one node: one socket answers for every member, probes the
 * node, pushes restarts and heads, and answers link requests.
 *
 * @example
 * const simulator = new FleetSimulator(options, links, store);
 * const seed = await simulator.listen(linkPort);
 * simulator.start(node);
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
    private readonly options: FleetSimulatorOptions,
    private readonly links: HttpLinks,
    private readonly store: BenchmarkStore,
  ) {
    this.#random = new SeededRandom(options.seed);
  }

  /** Binds the socket, creates the members and resolves with the address of a seed. */
  async listen(linkPort: number): Promise<Address> {
    await new Promise<void>((resolve) => {
      this.#socket.bind(0, '127.0.0.1', resolve);
    });
    const { port } = this.#socket.address();
    for (let index = 0; index < this.options.memberCount; index++)
      this.#addRow(index, port, linkPort);
    this.#socket.on('message', (bytes) => this.#receive(bytes));
    this.#handleLinks();
    return { address: '127.0.0.1', gossipPort: port };
  }

  /** Starts to probe the node, to restart members and to change the configuration. */
  start(node: Address): void {
    this.#node = node;
    const restartGapMs = dayMs / this.options.restartsPerDay;
    const changeGapMs = dayMs / this.options.changesPerDay;
    this.#repeat(probeIntervalMs, () =>
      this.#send(GossipMessageType.Ping, this.#chooseRandomRow(), 0),
    );
    this.#repeat(restartGapMs, () => this.#restartRandomMember());
    this.#repeat(changeGapMs, () => this.accept());
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
    const dataCentre = index % dataCentreCount;
    // An incarnation that is a day old does not look like part of a mass restart.
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
      region: `region-${dataCentre % regionCount}`,
      dataCentre: `data-centre-${dataCentre}`,
      service: `service-${index % this.options.serviceCount}`,
      backendVersion: 'v1',
      stateChangedAtMs: 0,
    };
    this.#rows.push(row);
    this.#byId.set(row.id, row);
  }

  #chooseRandomRow(): GossipRow {
    return this.#rows[this.#random.nextInt(this.#rows.length)] as GossipRow;
  }

  #repeat(intervalMs: number, action: () => void): void {
    this.#timers.push(setInterval(action, intervalMs));
  }

  /** Spreads the suspicion of one member and, after the restart delay, its next incarnation. */
  #restartRandomMember(): void {
    const row = this.#chooseRandomRow();
    const observers = [this.#chooseRandomRow().id, this.#chooseRandomRow().id];
    this.#spread(encodeStateRumour({ ...row, state: MemberState.Suspect, observers }));
    const incarnation = row.incarnation + 1;
    const restarted = { ...row, incarnation, announcedIncarnation: incarnation };
    const timer = setTimeout(() => {
      this.#rows[this.#rows.indexOf(row)] = restarted;
      this.#byId.set(row.id, restarted);
      this.#spread(encodeRow(restarted));
    }, restartDelayMs);
    this.#timers.push(timer);
  }

  #spread(bytes: Uint8Array): void {
    this.#rumours.push({ bytes, sendsLeft: piggybacksPerItemMax });
    this.#push(bytes);
  }

  #push(bytes: Uint8Array): void {
    for (let push = 0; push < pushesPerItem; push++) {
      this.#send(GossipMessageType.Push, this.#chooseRandomRow(), 0, [bytes]);
    }
  }

  #selectRumours(): Uint8Array[] {
    const selected: Uint8Array[] = [];
    let usedBytes = 0;
    for (const rumour of [...this.#rumours].reverse()) {
      usedBytes += rumour.bytes.length;
      if (usedBytes > itemsMaxBytes) break;
      rumour.sendsLeft -= 1;
      selected.push(rumour.bytes);
      if (rumour.sendsLeft === 0) this.#rumours.splice(this.#rumours.indexOf(rumour), 1);
    }
    return selected;
  }

  #send(type: GossipMessageType, from: GossipRow, sequence: number, items?: Uint8Array[]): void {
    if (!this.#node) return;
    const messageItems = items ?? [encodeRow(from), ...this.#selectRumours()];
    const bytes = encodeMessage({
      type,
      fromId: from.id,
      fromIncarnation: from.incarnation,
      headRank: this.#head?.configVersion ?? 0,
      // The node's own hash makes the registers count as equal, so that the cost includes no
      // repair.
      registerHash: this.#registerHash,
      sequence,
      argument: null,
      items: messageItems,
    });
    this.#socket.send(bytes, this.#node.gossipPort, this.#node.address);
  }

  #receive(bytes: Uint8Array): void {
    const message = decodeMessage(bytes);
    this.#registerHash = message.registerHash;
    const target = this.#byId.get(String(message.argument)) ?? this.#chooseRandomRow();
    if (message.type === GossipMessageType.Ping)
      this.#send(GossipMessageType.Ack, target, message.sequence);
    if (message.type === GossipMessageType.PingRequest) {
      this.#send(GossipMessageType.IndirectAck, this.#chooseRandomRow(), message.sequence, []);
    }
  }

  #handleLinks(): void {
    const { links, store } = this;
    links.handle(LinkRequestKind.MemberDigests, () => this.#listPages());
    links.handle(LinkRequestKind.MemberRows, (body) => {
      const [page] = (body as { buckets: number[] }).buckets;
      const start = (page ?? 0) * rowsPerPage;
      const rows = this.#rows.slice(start, start + rowsPerPage);
      return { rows: rows.map(rowToTuple), coveredBuckets: 1 };
    });
    links.handle(LinkRequestKind.ManifestDelta, (body) => {
      const { baseVersion } = body as { baseVersion: number };
      const target = this.#head && store.manifest(this.#head.configVersion);
      return target ? createManifestDelta(store.manifest(baseVersion), target, baseVersion) : null;
    });
    links.handle(LinkRequestKind.Sections, (body) => {
      const { digests } = body as { digests: string[] };
      return Object.fromEntries(digests.map((digest) => [digest, store.section(digest)]));
    });
  }

  /**
   * Returns page numbers as buckets: the first pull fetches all rows, later ones find no change.
   */
  #listPages(): number[] {
    if (this.#hasSentRows) return [];
    this.#hasSentRows = true;
    return Array.from({ length: Math.ceil(this.#rows.length / rowsPerPage) }, (_, page) => page);
  }
}
