import { monotonicNowMs, type System } from '@sequoiafield/tables';
import { MemberState, type MemberAnnouncement, type RegisterEntry } from '@sequoiafield/types';
import { ByteBudget } from './byte-budget.js';
import { createMembershipCounters } from './counters.js';
import type { DatagramSocket } from './datagram-socket.js';
import type { GossipRow } from './gossip-row.js';
import type { KnownMemberState, MembersTable } from './members-table.js';
import type { GossipPeerSelector } from './gossip-peer-selector.js';
import type { SpreadPolicy } from './policies.js';
import { RegisterRepair } from './register-repair.js';
import type { RegisterTable } from './register-table.js';
import { itemOverheadBytes, RumourQueue } from './rumour-queue.js';
import type { SuspicionTracker } from './suspicion-tracker.js';
import {
  datagramMaxBytes,
  decodeItem,
  decodeMessage,
  encodeMessage,
  encodeRegister,
  encodeRow,
  encodeStateRumour,
  GossipItemKind,
  GossipMessageType,
  type GossipMessage,
  type StateRumour,
} from './wire.js';

type MessageHandler = (message: GossipMessage) => void;
/** Where a datagram goes. */
export type GossipAddress = Pick<MemberAnnouncement, 'address' | 'gossipPort'>;

interface PendingPush {
  readonly key: string;
  readonly bytes: Uint8Array;
  readonly sinceMs: number;
}

/** Options of one datagram. */
export interface DatagramOptions {
  readonly sequence?: number;
  readonly argument?: unknown;
  /** Items that have to travel in this datagram, before the rumours. */
  readonly items?: readonly Uint8Array[];
  readonly hasRumours?: boolean;
}

/** Rate of sent bytes; half of the node's 15 KB/s, since about as many are received. */
const sentBytesPerS = 6500;
const sentBurstBytes = 13_000;
/** Pushes are gathered for this long, so that many at once share datagrams. */
const pushGatherMs = 20;
/** A push that waited longer for the byte budget has meanwhile travelled as a rumour. */
const pushExpiryMs = 3000;

/**
 * Raises of the announced incarnation by one process. A former life takes one or two; two running
 * processes with the same id would outrank each other for ever.
 */
const raisesMax = 8;

/** What a gossip object needs of its node. */
export interface GossipDependencies {
  readonly members: MembersTable;
  readonly registers: RegisterTable;
  readonly suspicions: SuspicionTracker;
  readonly picker: GossipPeerSelector;
  readonly socket: DatagramSocket;
  readonly policy: SpreadPolicy;
  readonly ownConfigVersion: () => number;
  /** Called for a state of a member or incarnation whose row is not held. */
  readonly onUnknownMember: () => void;
}

/**
 * Sends and receives datagrams, applies the items they carry and spreads what is news.
 *
 * @example
 * gossip.on(GossipMessageType.Ping, (message) => answer(message));
 * gossip.send(GossipMessageType.Ping, peer, { sequence: 7, hasRumours: true });
 */
export class Gossip implements System {
  readonly name = 'gossip';

  readonly counters = createMembershipCounters();

  readonly #queue = new RumourQueue();

  readonly #budget = new ByteBudget(sentBytesPerS, sentBurstBytes);

  readonly #handlers = new Map<GossipMessageType, MessageHandler>();

  #pending: PendingPush[] = [];

  #raises = 0;

  #pushedAtMs = Number.NEGATIVE_INFINITY;

  readonly #repair: RegisterRepair;

  constructor(private readonly parts: GossipDependencies) {
    this.#repair = new RegisterRepair(parts, {
      hasBudget: () => this.#budget.hasBytesLeft(),
      send: (type, to, options) => this.send(type, to, options),
    });
    this.on(GossipMessageType.RegisterSummary, (message) => this.#repair.answerSummary(message));
    parts.socket.onMessage((bytes) => this.#receive(bytes));
  }

  get queuedRumours(): number {
    return this.#queue.size;
  }

  on(type: GossipMessageType, handler: MessageHandler): void {
    this.#handlers.set(type, handler);
  }

  /** Sends the pushes that were gathered; runs each tick. */
  run(): void {
    this.#flush();
  }

  /** The own row as it stands now. */
  ownRow(): GossipRow {
    const { self } = this.parts.members;
    self.configVersion = Math.max(self.configVersion, this.parts.ownConfigVersion());
    return self;
  }

  send(type: GossipMessageType, to: GossipAddress, options: DatagramOptions = {}): void {
    const items = [...(options.items ?? [])];
    const { registers, members } = this.parts;
    const compose = (): Uint8Array =>
      encodeMessage({
        type,
        fromId: members.selfId,
        fromIncarnation: members.self.incarnation,
        headRank: registers.headRank,
        registerHash: registers.hash,
        sequence: options.sequence ?? 0,
        argument: options.argument ?? null,
        items,
      });
    if (options.hasRumours && this.#budget.hasBytesLeft()) {
      const leftBytes = datagramMaxBytes - compose().length - itemOverheadBytes;
      const limit = this.parts.policy.sendLimit(members.fleetSize());
      if (limit > 0) items.push(...this.#queue.take(leftBytes, limit));
    }
    this.#transmit(compose(), to);
  }

  /** Spreads a member's whole row: a new member or a new incarnation. */
  spreadRow(row: GossipRow, isUrgent: boolean): void {
    this.#spread(`row ${row.id}`, encodeRow(row), isUrgent);
  }

  /**
   * Spreads a state of a member. Suspicion, refutation, draining and leaving are urgent; that a
   * joining member became alive is not, since a mass restart would use up the byte budget.
   */
  spreadState(
    row: GossipRow,
    state: MemberState,
    observers: readonly string[] = [],
    isUrgent = true,
  ): void {
    this.#spread(`state ${row.id}`, encodeStateRumour({ ...row, state, observers }), isUrgent);
  }

  spreadRegister(entry: RegisterEntry): void {
    this.#spread(`register ${entry.kind} ${entry.key}`, encodeRegister(entry), true);
  }

  /** Raises own refutation or announced incarnation above what another believes; spreads it. */
  refute(heard: KnownMemberState): void {
    const own = this.ownRow();
    if (heard.incarnation !== own.incarnation) {
      this.#outrankFormerLife(heard);
      return;
    }
    const isSuspicion = heard.state === MemberState.Suspect || heard.state === MemberState.Dead;
    if (!isSuspicion) return;
    if (heard.refutation < own.refutation || own.state === MemberState.Left) return;
    own.refutation = heard.refutation + 1;
    this.spreadState(own, own.state);
  }

  /**
   * The clock of an earlier process with this id was ahead, so that the others ignore this one. Only
   * the announcement is raised; calls go on naming the start time, which no other life has.
   */
  #outrankFormerLife(heard: KnownMemberState): void {
    const own = this.ownRow();
    if (heard.announcedIncarnation < own.announcedIncarnation) return;
    if (own.state === MemberState.Left || this.#raises >= raisesMax) return;
    this.#raises += 1;
    own.announcedIncarnation = heard.announcedIncarnation + 1;
    this.spreadRow(own, true);
  }

  #spread(key: string, bytes: Uint8Array, isUrgent: boolean): void {
    this.#queue.put(key, bytes);
    if (!isUrgent || this.parts.policy.pushFanOut === 0) return;
    this.#pending = this.#pending.filter((pending) => pending.key !== key);
    const nowMs = monotonicNowMs();
    this.#pending.push({ key, bytes, sinceMs: nowMs });
    if (nowMs - this.#pushedAtMs >= pushGatherMs) this.#flush();
  }

  #flush(): void {
    if (this.#pending.length === 0) return;
    if (!this.#budget.hasBytesLeft()) {
      this.counters.deferredPushes += 1;
      const expiredAtMs = monotonicNowMs() - pushExpiryMs;
      this.#pending = this.#pending.filter(({ sinceMs }) => sinceMs > expiredAtMs);
      return;
    }
    this.#pushedAtMs = monotonicNowMs();
    const peers = this.parts.picker.pick(this.parts.policy.pushFanOut, true);
    if (peers.length === 0) {
      this.#pending = [];
      return;
    }
    const batch = this.#takeBatch();
    for (const peer of peers) this.send(GossipMessageType.Push, peer, { items: batch });
  }

  /** Takes the newest pushes that fit one datagram; the rest stays for the next tick. */
  #takeBatch(): Uint8Array[] {
    const headerBytes = 160;
    const batch: Uint8Array[] = [];
    let usedBytes = headerBytes;
    while (this.#pending.length > 0) {
      const next = this.#pending[this.#pending.length - 1] as PendingPush;
      usedBytes += next.bytes.length + itemOverheadBytes;
      if (usedBytes > datagramMaxBytes && batch.length > 0) break;
      this.#pending.pop();
      batch.push(next.bytes);
    }
    return batch;
  }

  #transmit(bytes: Uint8Array, to: GossipAddress): void {
    this.counters.sentDatagrams += 1;
    this.counters.sentBytes += bytes.length;
    this.#budget.spend(bytes.length);
    this.parts.socket.send(bytes, to.gossipPort, to.address);
  }

  #receive(bytes: Uint8Array): void {
    this.counters.receivedDatagrams += 1;
    this.counters.receivedBytes += bytes.length;
    try {
      const message = decodeMessage(bytes);
      if (message.fromId === this.parts.members.selfId) return;
      for (const item of message.items) this.#apply(item, message.fromId);
      if (this.parts.policy.isRepairEnabled) this.#repair.compare(message);
      this.#handlers.get(message.type)?.(message);
    } catch {
      this.counters.droppedDatagrams += 1;
    }
  }

  #apply(bytes: Uint8Array, fromId: string): void {
    const item = decodeItem(bytes);
    if (item.kind === GossipItemKind.Register) this.parts.registers.merge(item.entry, fromId);
    else if (item.kind === GossipItemKind.State) this.#applyState(item.rumour);
    else this.#applyRow(item.row, fromId);
  }

  #applyRow(row: GossipRow, fromId: string): void {
    const { members } = this.parts;
    if (row.id === members.selfId) {
      this.refute(row);
      return;
    }
    const wasIncarnation = members.get(row.id)?.incarnation;
    const wasRevision = members.get(row.id)?.serverRevision;
    const isNews = members.merge(row);
    if (!isNews && row.id === fromId) this.#tellFormerLife(row);
    if (!isNews) return;
    const now = members.get(row.id);
    if (!now) return;
    const isNew = wasIncarnation !== now.incarnation;
    if (isNew) this.spreadRow(now, false);
    else if (wasRevision !== now.serverRevision) this.spreadRow(now, true);
    else
      this.spreadState(now, now.state, [], now.refutation > 0 || now.state !== MemberState.Alive);
  }

  /** Answers a process whose row loses against a former life at the address that it gave. */
  #tellFormerLife(row: GossipRow): void {
    const belief = this.parts.members.knownState(row.id);
    if (!belief || belief.incarnation === row.incarnation) return;
    const rumour = { ...belief, id: row.id, observers: [] };
    this.send(GossipMessageType.Push, row, { items: [encodeStateRumour(rumour)] });
  }

  #applyState(rumour: StateRumour): void {
    const { members, suspicions } = this.parts;
    if (rumour.id === members.selfId) {
      this.refute(rumour);
      return;
    }
    const known = members.knownState(rumour.id);
    const isLaterLife = rumour.announcedIncarnation > (known?.announcedIncarnation ?? -1);
    if (isLaterLife) this.parts.onUnknownMember();
    if (rumour.state !== MemberState.Suspect) {
      const { id, incarnation, refutation, state } = rumour;
      const isNews = members.mergeState(id, incarnation, refutation, state);
      const row = members.get(id);
      if (isNews && row) this.spreadState(row, row.state);
      return;
    }
    // A suspicion of a later refutation shows that the member refuted an earlier one.
    members.mergeState(rumour.id, rumour.incarnation, rumour.refutation, MemberState.Alive);
    const { id, incarnation, refutation, observers } = rumour;
    const isNews = suspicions.report(id, incarnation, refutation, observers);
    const row = members.get(id);
    if (isNews && row) this.spreadState(row, MemberState.Suspect, suspicions.observersOf(id));
  }
}
