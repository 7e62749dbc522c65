import { logEvents, type Logger } from '@sequoiafield/logger';
import {
  eraOf,
  isRemoval,
  type StoreChanges,
  type StoreItem,
  type StoreRange,
} from '@sequoiafield/store';
import { Table } from '@sequoiafield/tables';
import type {
  MeshConfiguration,
  MeshOrders,
  MoveOrder,
  MoveRecord,
  OrdersView,
} from '@sequoiafield/types';
import { createLacksRevision, describeEra, type DeltaEra } from './delta-era.js';
import { plainValueMaxBytes } from './entry-codec.js';
import {
  decideShown,
  identifyAccepted,
  isLost,
  isUnconfirmed,
  isWithdrawn,
  ShownEntry,
  type HeldEntry,
} from './entry-merge.js';
import { EraLog } from './era-log.js';
import { EraState } from './era-state.js';
import { OrderKind, type Order, type OrdersDecoder } from './orders-decoder.js';
import { createWithdrawnByPeer, isOfFormerState, markShownToPeer } from './peer-merge.js';
import { RemovedEntries, type Removal } from './removed-entries.js';

/** Former values of a large entry that are kept, so that peers get patches of what they hold. */
const formerValuesMax = 4;

/** Entries that one node sends to another that lacks them. */
export interface OrdersDelta {
  readonly storeRevision: number;
  /** Every key of the range, so that the receiver detects removals. */
  readonly keys: readonly string[];
  readonly items: readonly StoreItem[];
  /** Removals that the receiver lacks; an older copy of the store may still have these entries. */
  readonly removals?: readonly Removal[];
  /** Undefined in era 0 of the store. */
  readonly era?: DeltaEra | undefined;
}

const emptyOrders: MeshOrders = {
  storeRevision: 0,
  configuration: undefined,
  moves: new Map(),
  moveRecords: new Map(),
  evacuatedDataCentres: new Set(),
};

/**
 * Holds the entries of the operators, complete up to a revision of the store. Older revisions and
 * older versions of the configuration are ignored, so the table never reverts, also if the store is
 * restored from an older copy (`entry-merge.ts` has the rules).
 *
 * @example
 * const table = new OrdersTable(decoder, logger);
 * table.replaceAll(await store.readRange(prefix));
 * table.current().configuration?.version;
 */
export class OrdersTable implements OrdersView {
  readonly #rows = new Table<HeldEntry>('orders');

  readonly #removed = new RemovedEntries();

  readonly #era = new EraState();

  readonly #eraLog: EraLog;

  /** Former values of large entries by key, the newest last. */
  readonly #formerValues = new Map<string, readonly StoreItem[]>();

  #orders = emptyOrders;

  /** Revision of the last change here; lower than the store revision if other keys changed later. */
  #changedRevision = 0;

  #changesCount = 0;

  constructor(
    private readonly decoder: OrdersDecoder,
    private readonly logger: Logger,
  ) {
    this.#eraLog = new EraLog(logger);
  }

  get storeRevision(): number {
    return this.#orders.storeRevision;
  }

  get changedRevision(): number {
    return this.#changedRevision;
  }

  current(): MeshOrders {
    return this.#orders;
  }

  /** Number of calls that changed an entry or the era. */
  get changesCount(): number {
    return this.#changesCount;
  }

  /** What this node knows about the current era of the store. */
  get era(): Readonly<EraState> {
    return this.#era;
  }

  /** Entries of former eras that the store has not shown in the current one, without outcomes of moves. */
  get unconfirmedCount(): number {
    return this.#unconfirmed().length;
  }

  /**
   * Replaces the entries by a whole range, which must not be stale; returns whether an entry changed.
   * Entries with one of `otherKeys` are not part of the range and stay.
   */
  replaceAll(range: StoreRange, otherKeys: readonly string[] = []): boolean {
    const isNewEra = this.#enterEra(range.storeRevision);
    if (range.storeRevision <= this.storeRevision) return false;
    const keys = new Set([...range.items.map(({ key }) => key), ...otherKeys]);
    let isChanged = this.#removeIf(
      (row) => !keys.has(row.item.key) && isWithdrawn(row, this.#era),
      range.storeRevision,
    );
    for (const item of range.items) isChanged = this.#show(item) || isChanged;
    this.#updateOrders(range.storeRevision, isChanged, isNewEra);
    return isChanged || isNewEra;
  }

  /** Applies the changes that a watch delivered; returns whether an entry changed. */
  applyChanges({ changes, storeRevision }: StoreChanges): boolean {
    if (eraOf(storeRevision) !== this.#era.era) return false;
    let isChanged = false;
    const isNewer = storeRevision > this.storeRevision;
    const lastChanges = new Map(isNewer ? changes.map((change) => [change.key, change]) : []);
    for (const change of lastChanges.values()) {
      if (isRemoval(change)) isChanged = this.#remove(change.key, change.revision) || isChanged;
      else isChanged = this.#show(change) || isChanged;
    }
    // A watch shows that the store still lacks what a range lacked.
    isChanged = this.#removeIf((row) => isLost(row, this.#era), storeRevision) || isChanged;
    if (isNewer || isChanged) {
      this.#updateOrders(Math.max(storeRevision, this.storeRevision), isChanged);
    }
    return isChanged;
  }

  /** Applies a delta from another node; returns whether an entry changed. */
  applyDelta(delta: OrdersDelta): boolean {
    const { storeRevision } = delta;
    if (eraOf(storeRevision) < this.#era.era) return false;
    const isNewEra = this.#enterEra(delta.era?.startRevision ?? storeRevision, delta.era?.ageMs);
    const isNewer = storeRevision > this.storeRevision;
    if (!isNewer && this.#era.era === 0) return false;
    let isChanged = false;
    for (const [key, revision] of delta.removals ?? []) {
      isChanged = this.#remove(key, revision) || isChanged;
    }
    if (isNewer) {
      const isLacking = createWithdrawnByPeer(delta, this.#era);
      isChanged = this.#removeIf(isLacking, storeRevision) || isChanged;
    }
    const unconfirmed = new Map(delta.era?.unconfirmed);
    for (const item of delta.items) {
      // An older delta only tells about former eras, and how entries are identified.
      if (!isNewer && !isOfFormerState(item, this.#heldOf, this.#era)) continue;
      if (!this.#rows.has(item.key) && unconfirmed.get(item.key) === false && this.#era.isSettled)
        continue;
      isChanged = this.#put(item) || isChanged;
    }
    markShownToPeer(delta, this.#heldOf, this.#era, isNewEra);
    this.#era.learnFormer(delta.era?.formerRevision ?? 0);
    this.#updateOrders(Math.max(storeRevision, this.storeRevision), isChanged, isNewEra);
    return isChanged || isNewEra;
  }

  /** Records the answer of a peer that was asked for all entries. */
  notePeerAnswer(): void {
    this.#era.notePeerAnswer();
  }

  /** Whether this node would hold every key of the delta after applying it. */
  isCompleteAfter(delta: OrdersDelta): boolean {
    const deliveredKeys = new Set(delta.items.map(({ key }) => key));
    const isKnown = (key: string): boolean =>
      this.#rows.has(key) || this.#removedRevisionOf(key) !== undefined;
    return delta.keys.every((key) => deliveredKeys.has(key) || isKnown(key));
  }

  /** Returns the value of an entry at a revision, if it is the current one or was lately. */
  valueAt(key: string, revision: number): Uint8Array | undefined {
    const current = this.#rows.get(key)?.item;
    if (current?.revision === revision) return current.value;
    return this.#formerValues.get(key)?.find((item) => item.revision === revision)?.value;
  }

  /** Whether an item of the store is an order to move a service to another version. */
  isMove(item: StoreItem): boolean {
    const known = this.#rows.get(item.key);
    const order = known?.item.revision === item.revision ? known.order : this.#decode(item);
    return order?.kind === OrderKind.Move;
  }

  /** Returns the keys and revisions of the entries that are too large to be sent as they are. */
  largeEntries(): readonly (readonly [key: string, revision: number])[] {
    return [...this.#rows.rows()]
      .filter(({ item }) => item.value.length > plainValueMaxBytes)
      .map(({ item }) => [item.key, item.revision]);
  }

  /**
   * Returns the entries that a node lacks which is complete up to `sinceRevision`, and up to
   * `formerRevision` in the former eras of the store.
   */
  deltaSince(sinceRevision: number, formerRevision = sinceRevision): OrdersDelta {
    const items = [...this.#rows.rows()].map(({ item }) => item);
    const isLacking = createLacksRevision(this.#era.era, sinceRevision, formerRevision);
    const removals = this.#removed.list(isLacking);
    const era = describeEra(
      this.#era,
      this.#unconfirmed().map((row) => [row.item.key, row.presentEra === this.#era.era]),
    );
    return {
      storeRevision: this.storeRevision,
      keys: items.map(({ key }) => key),
      items: items.filter(({ revision }) => isLacking(revision)),
      ...(removals.length > 0 && { removals }),
      ...(era && { era }),
    };
  }

  readonly #heldOf = (key: string): HeldEntry | undefined => this.#rows.get(key);

  /** Applies an entry that the store shows in the current era; returns whether it changed anything. */
  #show(item: StoreItem): boolean {
    const held = this.#rows.get(item.key);
    const known = { held, removedRevision: this.#removedRevisionOf(item.key) };
    const decision = decideShown(item, known, this.#era, () => this.#decode(item));
    if (decision === ShownEntry.Accepted) {
      this.#put({ ...item, revision: identifyAccepted(item, known, this.#era) });
    } else if (decision === ShownEntry.Ignored && !held) this.#eraLog.logIgnored(item);
    const row = this.#rows.get(item.key);
    if (row) row.presentEra = this.#era.era;
    if (row && decision !== ShownEntry.Ignored) row.confirmedEra = this.#era.era;
    return decision === ShownEntry.Accepted;
  }

  #put(item: StoreItem): boolean {
    const known = this.#rows.get(item.key);
    const knownRevision = known?.item.revision ?? this.#removedRevisionOf(item.key) ?? 0;
    if (knownRevision >= item.revision) return false;
    if (known && known.item.value.length > plainValueMaxBytes) this.#keepFormer(known.item);
    const shown = { presentEra: known?.presentEra ?? 0, confirmedEra: 0 };
    this.#rows.set(item.key, { item, order: this.#decode(item), ...shown });
    this.#removed.delete(item.key);
    this.#changedRevision = Math.max(this.#changedRevision, item.revision);
    return true;
  }

  #remove(key: string, revision: number): boolean {
    const known = this.#rows.get(key);
    if (known && known.item.revision > revision) return false;
    this.#removed.add(key, revision);
    if (!known) return false;
    this.#rows.delete(key);
    this.#formerValues.delete(key);
    this.#changedRevision = Math.max(this.#changedRevision, revision);
    return true;
  }

  /** Returns the revision up to which a key is known to be removed; needed only after a restore. */
  #removedRevisionOf(key: string): number | undefined {
    return this.#era.era === 0 ? undefined : this.#removed.revisionOf(key);
  }

  #removeIf(isRemoved: (row: HeldEntry) => boolean, revision: number): boolean {
    const keys = [...this.#rows.rows()].filter(isRemoved).map(({ item }) => item.key);
    return keys.filter((key) => this.#remove(key, revision)).length > 0;
  }

  #keepFormer(item: StoreItem): void {
    const former = this.#formerValues.get(item.key) ?? [];
    this.#formerValues.set(item.key, [...former, item].slice(-formerValuesMax));
  }

  #decode(item: StoreItem): Order | undefined {
    try {
      return this.decoder.decode(item);
    } catch (error) {
      const { key, revision } = item;
      this.logger.log(logEvents.orderMalformed, { key, revision, error: String(error) });
      return undefined;
    }
  }

  #updateOrders(storeRevision: number, isChanged: boolean, isNewEra = false): void {
    if (isChanged || isNewEra) this.#changesCount += 1;
    if (isNewEra) this.#eraLog.logKept(this.#unconfirmed(), this.#era);
    // Peers learn of a new era by the revision of the last change.
    if (isNewEra) this.#changedRevision = storeRevision;
    const eraStart = this.#era.startRevision;
    if (!isChanged) {
      this.#orders = { ...this.#orders, storeRevision, eraStart };
      return;
    }
    const moves = new Map<string, MoveOrder>();
    const moveRecords = new Map<string, MoveRecord>();
    const evacuatedDataCentres = new Set<string>();
    const malformedKeys: string[] = [];
    let { configuration } = this.#orders;
    for (const { item, order } of this.#rows.rows()) {
      if (!order) malformedKeys.push(item.key);
      if (order?.kind === OrderKind.Move) moves.set(order.move.service, order.move);
      else if (order?.kind === OrderKind.MoveRecord) {
        moveRecords.set(order.record.service, order.record);
      } else if (order?.kind === OrderKind.Evacuation) evacuatedDataCentres.add(order.dataCentre);
      else if (order) configuration = this.#newerConfiguration(configuration, order.configuration);
    }
    const entries = { configuration, moves, moveRecords, evacuatedDataCentres, malformedKeys };
    this.#orders = { storeRevision, eraStart, ...entries };
  }

  /** Begins the era of a revision if it is later than the current one; returns whether it is. */
  #enterEra(startRevision: number, ageMs = 0): boolean {
    if (eraOf(startRevision) === this.#era.era) this.#era.learn(startRevision, ageMs);
    if (eraOf(startRevision) <= this.#era.era) return false;
    this.#era.enter(startRevision, this.storeRevision, ageMs);
    this.#eraLog.logNewEra(this.#era);
    return true;
  }

  #unconfirmed(): readonly HeldEntry[] {
    return [...this.#rows.rows()].filter((row) => isUnconfirmed(row, this.#era));
  }

  #newerConfiguration(
    known: MeshConfiguration | undefined,
    received: MeshConfiguration,
  ): MeshConfiguration {
    return known && known.version >= received.version ? known : received;
  }
}
