import { logEvents, type Logger } from '@sequoiafield/logger';
import { headRegisterKey } from '@sequoiafield/membership';
import { HistoryCompactedError, type RangeStore } from '@sequoiafield/store';
import { monotonicNowMs, type RandomSource, type System, type Tick } from '@sequoiafield/tables';
import {
  MemberState,
  RegisterKind,
  type MemberRow,
  type MemberView,
  type RegisterGossip,
} from '@sequoiafield/types';
import type { OrdersExchange } from './orders-exchange.js';
import type { OrdersTable } from './orders-table.js';
import type { WatcherSelector } from './watcher-selector.js';

/**
 * Longest wait of one watch call. A connection may go silent for good, so that a watch that waits too
 * long would hide changes; a wait of 2.5 s keeps within the 2 s deadline after the 3 s in which a
 * machine with reset connections is excused.
 */
const watchWaitMs = 2500;
/** Wait before a failed call is repeated; doubled up to the maximum and jittered. */
const retryMinMs = 100;
const retryMaxMs = 1000;
/** A revision that gossip names and no peer delivers is read from the store after this time. */
const doubtMs = 350;
/** Reads of the whole fleet beside the watches are this far apart on average. */
const fleetReadIntervalMs = 900;
/** Shortest interval of one node's reads beside the watches. */
const ownReadMinMs = 3000;

/** What a follower works with. */
export interface OrdersFollowerDependencies {
  readonly table: OrdersTable;
  readonly exchange: OrdersExchange;
  readonly watchers: WatcherSelector;
  readonly store: RangeStore;
  /** Range of the operators' entries. */
  readonly ordersPrefix: string;
  /** Range of the outcomes of moves; read once at the start. */
  readonly recordsPrefix: string;
  readonly members: MemberView;
  readonly registers: RegisterGossip;
  readonly random: RandomSource;
  readonly logger: Logger;
  /** Called after an entry changed. */
  readonly onChanged: () => void;
}

/**
 * Keeps the orders of one node up to date: watches the store if it is chosen to, fetches what gossip
 * names from peers, and reads the store by itself in doubt.
 */
export class OrdersFollower implements System {
  readonly name = 'orders-follower';

  #isStopped = false;

  #isWatching = false;

  #isFetching = false;

  #isReading = false;

  #nextReadAtMs = 0;

  #behindSinceMs: number | undefined;

  #failures = 0;

  #retryAtMs = 0;

  #answeredAtMs = Number.NEGATIVE_INFINITY;

  #isStoreDown = false;

  constructor(private readonly parts: OrdersFollowerDependencies) {
    parts.registers.subscribe(RegisterKind.Head, (entry, fromId) => {
      if (entry.rank > parts.table.storeRevision) this.#fetch(entry.rank, fromId);
    });
  }

  /** Monotonic time of the store's last answer to this node; minus infinity before the first. */
  get lastStoreAnswerAtMs(): number {
    return this.#answeredAtMs;
  }

  stop(): void {
    this.#isStopped = true;
  }

  run(tick: Pick<Tick, 'nowMs'>): void {
    if (this.#isStopped) return;
    this.#noteDoubt(tick.nowMs);
    if (tick.nowMs < this.#retryAtMs) return;
    if (this.#isReadDue(tick.nowMs)) this.#read();
    else if (!this.#isWatching && !this.#isReading && this.parts.watchers.isWatcher()) {
      this.#watch();
    }
  }

  /** Asks peers for the newest orders; a node that has just joined needs not wait for the store. */
  fetchFromPeers(): void {
    const { table, members } = this.parts;
    const peer = [...members.all()].find(
      ({ id, state }) => id !== members.selfId && state === MemberState.Alive,
    );
    if (peer) this.#fetch(table.storeRevision + 1, peer.id);
  }

  #noteDoubt(nowMs: number): void {
    const head = this.parts.registers.read(RegisterKind.Head, headRegisterKey);
    const isBehind = (head?.rank ?? 0) > this.parts.table.storeRevision;
    if (!isBehind) this.#behindSinceMs = undefined;
    else this.#behindSinceMs ??= nowMs;
  }

  #isReadDue(nowMs: number): boolean {
    if (this.#isReading) return false;
    if (this.parts.table.storeRevision === 0) return true;
    if (this.#behindSinceMs !== undefined && nowMs - this.#behindSinceMs >= doubtMs) return true;
    return !this.#isWatching && !this.parts.watchers.isWatcher() && nowMs >= this.#nextReadAtMs;
  }

  #scheduleRead(): void {
    const meanMs = Math.max(ownReadMinMs, this.parts.members.fleetSize() * fleetReadIntervalMs);
    this.#nextReadAtMs = monotonicNowMs() + meanMs * (0.5 + this.parts.random.next());
  }

  #read(): void {
    this.#isReading = true;
    this.#readStore()
      .then(
        () => this.#onAnswer(),
        (error: unknown) => this.#onFailure(error),
      )
      .finally(() => {
        this.#isReading = false;
        this.#scheduleRead();
      });
  }

  async #readStore(): Promise<void> {
    const { table, store, ordersPrefix, recordsPrefix } = this.parts;
    const isFirst = table.storeRevision === 0;
    const [range, records] = await Promise.all([
      store.readRange(ordersPrefix),
      isFirst ? store.readRange(recordsPrefix) : undefined,
    ]);
    const kept = table.deltaSince(0).items.filter(({ key }) => key.startsWith(recordsPrefix));
    const items = [...range.items, ...(records?.items ?? kept)];
    if (table.replaceAll({ items, storeRevision: range.storeRevision })) this.#onChanged();
  }

  #watch(): void {
    this.#isWatching = true;
    this.#watchStore()
      .then(
        () => this.#onAnswer(),
        (error: unknown) => {
          if (error instanceof HistoryCompactedError) this.#read();
          else this.#onFailure(error);
        },
      )
      .finally(() => {
        this.#isWatching = false;
        if (this.#failures === 0) this.run({ nowMs: monotonicNowMs() });
      });
  }

  async #watchStore(): Promise<void> {
    const { table, store, ordersPrefix } = this.parts;
    const changes = await store.watchRange(ordersPrefix, table.storeRevision, watchWaitMs);
    if (table.applyChanges(changes)) this.#onChanged();
  }

  #onChanged(): void {
    const { table, registers, exchange, logger } = this.parts;
    const { configuration } = table.current();
    logger.log(logEvents.ordersInForce, {
      storeRevision: table.storeRevision,
      configVersion: configuration?.version ?? 0,
    });
    exchange.answerPendingRequests();
    registers.publish({
      kind: RegisterKind.Head,
      key: headRegisterKey,
      rank: table.changedRevision,
      body: null,
    });
    this.parts.onChanged();
  }

  #fetch(wantedRevision: number, fromId: string): void {
    if (this.#isFetching) return;
    this.#isFetching = true;
    this.#fetchFromEach(wantedRevision, fromId)
      .catch((error: unknown) => {
        this.parts.logger.log(logEvents.ordersFetchFailed, {
          wantedRevision,
          error: String(error),
        });
      })
      .finally(() => {
        this.#isFetching = false;
        const head = this.parts.registers.read(RegisterKind.Head, headRegisterKey);
        const isNewer =
          head && head.rank > Math.max(wantedRevision, this.parts.table.storeRevision);
        if (isNewer) this.#fetch(head.rank, fromId);
      });
  }

  async #fetchFromEach(wantedRevision: number, fromId: string): Promise<void> {
    const { table, exchange } = this.parts;
    const before = table.changedRevision;
    let lastError: unknown;
    for (const peer of this.#peersFor(fromId)) {
      try {
        if (await exchange.fetchFrom(peer, wantedRevision)) break;
      } catch (error) {
        lastError = error;
      }
    }
    if (table.changedRevision > before) this.#onChanged();
    if (table.storeRevision < wantedRevision && lastError !== undefined) throw lastError;
  }

  /**
   * Whom to ask: the sender if it is near, a watcher of the own data centre, which hears of the change
   * from the store itself, and then the sender. Bytes between data centres are dear.
   */
  #peersFor(fromId: string): readonly MemberRow[] {
    const { members, watchers, random } = this.parts;
    const self = members.get(members.selfId);
    const sender = members.get(fromId);
    const near = watchers.ownDataCentreWatchers().filter(({ id }) => id !== members.selfId);
    const watcher = near[random.nextInt(Math.max(1, near.length))];
    const isNear = sender?.dataCentre === self?.dataCentre;
    const peers = isNear ? [sender, watcher] : [watcher, sender];
    return [...new Set(peers.filter((peer) => peer !== undefined))];
  }

  #onAnswer(): void {
    this.#answeredAtMs = monotonicNowMs();
    this.#failures = 0;
    if (this.#isStoreDown) this.parts.logger.log(logEvents.storeAvailable);
    this.#isStoreDown = false;
  }

  #onFailure(error: unknown): void {
    const capMs = Math.min(retryMaxMs, retryMinMs * 2 ** this.#failures);
    this.#failures += 1;
    this.#retryAtMs = monotonicNowMs() + capMs * (0.5 + this.parts.random.next() / 2);
    if (!this.#isStoreDown) {
      this.parts.logger.log(logEvents.storeUnavailable, { error: String(error) });
    }
    this.#isStoreDown = true;
  }
}
