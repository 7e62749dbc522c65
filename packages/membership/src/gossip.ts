import type { Logger } from '@sequoiafield/logger';
import { monotonicNowMs, type System } from '@sequoiafield/tables';
import { MemberState, type MemberAnnouncement, type RegisterEntry } from '@sequoiafield/types';
import { ByteBudget } from './byte-budget.js';
import { createMembershipCounters } from './counters.js';
import type { DatagramSocket } from './datagram-socket.js';
import { latestDeparted, type GossipRow } from './gossip-row.js';
import type { MembersTable } from './members-table.js';
import type { GossipPeerSelector } from './gossip-peer-selector.js';
import type { SpreadPolicy } from './policies.js';
import { MalformedItemLog } from './malformed-item-log.js';
import { PushQueue } from './push-queue.js';
import { Refuter } from './refuter.js';
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
/** Address and port that a datagram is sent to. */
export type GossipAddress = Pick<MemberAnnouncement, 'address' | 'gossipPort'> &
  Partial<Pick<MemberAnnouncement, 'dataCentre'>>;

/** Options of one datagram. */
export interface DatagramOptions {
  readonly sequence?: number;
  readonly argument?: unknown;
  /** Items that this datagram has to carry; rumours follow if space is left. */
  readonly items?: readonly Uint8Array[];
  readonly hasRumours?: boolean;
}

/** Rate of sent bytes: about half of the node's 15 KB/s, since about as many are received. */
const sentMaxBytesPerS = 6500;
const sentBurstMaxBytes = 13_000;
/** Minimum interval between batches of pushes, so that many simultaneous pushes share datagrams. */
const pushBatchIntervalMs = 20;
/**
 * Sends of a rumour that is not urgent, such as the row of a member that joined: members also exchange
 * whole rows over links, and the rows of a fleet that starts at once would take the most bytes of all.
 */
const quietSendsMax = 4;

/** Dependencies of `Gossip`. */
export interface GossipDependencies {
  readonly members: MembersTable;
  readonly registers: RegisterTable;
  readonly suspicions: SuspicionTracker;
  readonly peerSelector: GossipPeerSelector;
  readonly socket: DatagramSocket;
  readonly spreadPolicy: SpreadPolicy;
  readonly ownConfigVersion: () => number;
  readonly logger: Logger;
  /** Called when a state names a member or incarnation whose row is missing. */
  readonly onUnknownMember: () => void;
}

/**
 * Sends and receives datagrams, applies their items and spreads those that change anything.
 *
 * @example
 * gossip.on(GossipMessageType.Ping, (message) => answer(message));
 * gossip.send(GossipMessageType.Ping, peer, { sequence: 7, hasRumours: true });
 */
export class Gossip implements System {
  readonly name = 'gossip';

  readonly counters = createMembershipCounters();

  readonly malformedItems: MalformedItemLog;

  readonly #rumourQueue = new RumourQueue();

  readonly #budget = new ByteBudget(sentMaxBytesPerS, sentBurstMaxBytes);

  readonly #handlers = new Map<GossipMessageType, MessageHandler>();

  readonly #pushQueue = new PushQueue();

  #lastPushAtMs = Number.NEGATIVE_INFINITY;

  readonly #repair: RegisterRepair;

  readonly #refuter: Refuter;

  constructor(private readonly dependencies: GossipDependencies) {
    this.malformedItems = new MalformedItemLog(this.counters, dependencies.logger);
    this.#repair = new RegisterRepair(dependencies, {
      hasBytesLeft: () => this.#budget.hasBytesLeft(),
      send: (type, to, options) => this.send(type, to, options),
    });
    this.#refuter = new Refuter(dependencies.members, this);
    this.on(GossipMessageType.RegisterSummary, (message) => this.#repair.answerSummary(message));
    dependencies.socket.onMessage((bytes) => this.#receive(bytes));
  }

  get queuedRumours(): number {
    return this.#rumourQueue.size;
  }

  on(type: GossipMessageType, handler: MessageHandler): void {
    this.#handlers.set(type, handler);
  }

  /** Sends the pending pushes; runs each tick. */
  run(): void {
    this.#flush();
  }

  /** Updates the configuration version in the own row and returns the row. */
  ownRow(): GossipRow {
    const { self } = this.dependencies.members;
    self.configVersion = Math.max(self.configVersion, this.dependencies.ownConfigVersion());
    return self;
  }

  send(type: GossipMessageType, to: GossipAddress, options: DatagramOptions = {}): void {
    const items = [...(options.items ?? [])];
    const { registers, members } = this.dependencies;
    const encodeDatagram = (): Uint8Array =>
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
      const leftBytes = datagramMaxBytes - encodeDatagram().length - itemOverheadBytes;
      const limit = this.dependencies.spreadPolicy.sendLimit(members.fleetSize());
      if (limit > 0) items.push(...this.#rumourQueue.take(leftBytes, limit));
    }
    this.#transmit(encodeDatagram(), to);
  }

  /** Spreads a whole row: of a new member, a new incarnation or a changed backend server. */
  spreadRow(row: GossipRow, isUrgent: boolean): void {
    this.#spread(`row ${row.id}`, encodeRow(row), isUrgent);
  }

  /**
   * Spreads the own row after the backend server left. The first pushes wait neither for the next batch
   * nor for the byte budget, since the leaving is acknowledged next and binds a later process.
   */
  spreadDeparture(): void {
    const row = this.ownRow();
    const bytes = encodeRow(row);
    this.#rumourQueue.put(`row ${row.id}`, bytes);
    this.#push([bytes]);
  }

  /**
   * Spreads the state of a member. Suspicion, refutation, draining and leaving are urgent. The change
   * from joining to alive is not, since a mass restart would exhaust the byte budget.
   */
  spreadState(
    row: GossipRow,
    state: MemberState,
    observers: readonly string[] = [],
    isUrgent = true,
  ): void {
    this.#spread(`state ${row.id}`, encodeStateRumour({ ...row, state, observers }), isUrgent);
  }

  /**
   * Spreads a register: of a configuration, or of a stage or verdict of a move. Its first pushes do
   * not wait for the byte budget, which the changes of many members may use up for seconds.
   */
  spreadRegister(entry: RegisterEntry): void {
    const bytes = encodeRegister(entry);
    this.#rumourQueue.put(`register ${entry.kind} ${entry.key}`, bytes);
    this.#push([bytes]);
  }

  #spread(key: string, bytes: Uint8Array, isUrgent: boolean): void {
    this.#rumourQueue.put(key, bytes, isUrgent ? undefined : quietSendsMax);
    if (!isUrgent || this.dependencies.spreadPolicy.pushFanOut === 0) return;
    const nowMs = monotonicNowMs();
    this.#pushQueue.put(key, bytes, nowMs);
    if (nowMs - this.#lastPushAtMs >= pushBatchIntervalMs) this.#flush();
  }

  #flush(): void {
    if (this.#pushQueue.isEmpty) return;
    if (!this.#budget.hasBytesLeft()) {
      this.counters.deferredPushes += 1;
      this.#pushQueue.expire(monotonicNowMs());
      return;
    }
    this.#lastPushAtMs = monotonicNowMs();
    const hasPeers = this.#push(this.#pushQueue.takeBatch());
    if (!hasPeers) this.#pushQueue.clear();
  }

  /** Pushes items to random peers at once; returns whether there are any. */
  #push(items: readonly Uint8Array[]): boolean {
    const { peerSelector, spreadPolicy } = this.dependencies;
    const peers = peerSelector.pick(spreadPolicy.pushFanOut, true);
    for (const peer of peers) this.send(GossipMessageType.Push, peer, { items });
    return peers.length > 0;
  }

  #transmit(bytes: Uint8Array, to: GossipAddress): void {
    this.counters.sentDatagrams += 1;
    this.counters.sentBytes += bytes.length;
    const isFar = to.dataCentre !== this.dependencies.members.self.dataCentre;
    if (to.dataCentre !== undefined && isFar) this.counters.sentFarBytes += bytes.length;
    this.#budget.spend(bytes.length);
    this.dependencies.socket.send(bytes, to.gossipPort, to.address);
  }

  #receive(bytes: Uint8Array): void {
    this.counters.receivedDatagrams += 1;
    this.counters.receivedBytes += bytes.length;
    try {
      const message = decodeMessage(bytes);
      if (message.fromId === this.dependencies.members.selfId) return;
      for (const item of message.items) this.#applyItem(item, message.fromId);
      if (this.dependencies.spreadPolicy.isRepairEnabled) this.#repair.compare(message);
      this.#handlers.get(message.type)?.(message);
    } catch {
      this.counters.droppedDatagrams += 1;
    }
  }

  /** Applies an item; a malformed one affects nothing else. */
  #applyItem(bytes: Uint8Array, fromId: string): void {
    try {
      this.#apply(bytes, fromId);
    } catch (error) {
      this.malformedItems.record(fromId, error);
    }
  }

  #apply(bytes: Uint8Array, fromId: string): void {
    const item = decodeItem(bytes);
    if (item.kind === GossipItemKind.Register)
      this.dependencies.registers.merge(item.entry, fromId);
    else if (item.kind === GossipItemKind.State) this.#applyState(item.rumour);
    else this.#applyRow(item.row, fromId);
  }

  #applyRow(row: GossipRow, fromId: string): void {
    const { members } = this.dependencies;
    if (row.id === members.selfId) {
      members.mergeOwn(row);
      this.#refuter.refute(row);
      return;
    }
    const previousIncarnation = members.get(row.id)?.incarnation;
    const previousServerRevision = members.get(row.id)?.serverRevision;
    const hasChanged = members.merge(row);
    if (!hasChanged && row.id === fromId) this.#sendOtherIncarnation(row);
    if (row.id === fromId) this.#sendDepartedServer(row);
    if (!hasChanged) return;
    const current = members.get(row.id);
    if (!current) return;
    const isNewIncarnation = previousIncarnation !== current.incarnation;
    if (isNewIncarnation) this.spreadRow(current, false);
    else if (previousServerRevision !== current.serverRevision) this.spreadRow(current, true);
    else
      this.spreadState(
        current,
        current.state,
        [],
        current.refutation > 0 || current.state !== MemberState.Alive,
      );
  }

  /**
   * Sends the known state of another incarnation to the process whose row it takes precedence over,
   * at the address in that row, so that the process can outrank it.
   */
  #sendOtherIncarnation(row: GossipRow): void {
    const known = this.dependencies.members.knownState(row.id);
    if (!known || known.incarnation === row.incarnation) return;
    const rumour = { ...known, id: row.id, observers: [] };
    this.send(GossipMessageType.Push, row, { items: [encodeStateRumour(rumour)] });
  }

  /** Tells a process which server left its former process, if it does not know that. */
  #sendDepartedServer(row: GossipRow): void {
    const known = this.dependencies.members.get(row.id);
    if (!known || latestDeparted(row.departedServer, known.departedServer) === row.departedServer)
      return;
    this.send(GossipMessageType.Push, row, { items: [encodeRow(known)] });
  }

  #applyState(rumour: StateRumour): void {
    const { members, suspicions } = this.dependencies;
    if (rumour.id === members.selfId) {
      this.#refuter.refute(rumour);
      return;
    }
    const known = members.knownState(rumour.id);
    const isLaterIncarnation = rumour.announcedIncarnation > (known?.announcedIncarnation ?? -1);
    if (isLaterIncarnation) this.dependencies.onUnknownMember();
    if (rumour.state !== MemberState.Suspect) {
      const { id, incarnation, refutation, state } = rumour;
      const hasChanged = members.mergeState(id, incarnation, refutation, state);
      const row = members.get(id);
      if (hasChanged && row) this.spreadState(row, row.state);
      return;
    }
    // A suspicion with a higher refutation shows that the member refuted an earlier suspicion.
    members.mergeState(rumour.id, rumour.incarnation, rumour.refutation, MemberState.Alive);
    const { id, incarnation, refutation, observers } = rumour;
    const hasNewObservers = suspicions.report(id, incarnation, refutation, observers);
    const row = members.get(id);
    if (hasNewObservers && row)
      this.spreadState(row, MemberState.Suspect, suspicions.observersOf(id));
  }
}
