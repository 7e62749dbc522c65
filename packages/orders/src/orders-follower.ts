import { logEvents, type Logger } from '@sequoiafield/logger';
import { headRegisterKey } from '@sequoiafield/membership';
import {
  eraOf,
  HistoryCompactedError,
  type RangeStore,
  type StoreRange,
} from '@sequoiafield/store';
import { monotonicNowMs, type RandomSource, type System, type Tick } from '@sequoiafield/tables';
import {
  RegisterKind,
  takesNewWork,
  type MemberView,
  type RegisterGossip,
} from '@sequoiafield/types';
import { selectFetchPeers } from './fetch-peers.js';
import { FirstReadSchedule } from './first-read-schedule.js';
import type { OrdersExchange } from './orders-exchange.js';
import type { OrdersTable } from './orders-table.js';
import type { WatchTakeover } from './watch-takeover.js';
import type { WatcherSelector } from './watcher-selector.js';

/**
 * Longest wait of one watch call. A connection can stop delivering data without an error, and a longer
 * watch on it would hide changes. A machine whose connections were lost has to follow changes again
 * 3 s later; the rest of that time is left for a call that times out and for delivery to the others.
 */
const watchWaitMs = 1000;
/**
 * Longest wait of a watch call of the other watchers. It costs fewer calls, and they are needed only
 * while the first one does not get the changes.
 */
const laterWatchWaitMs = 2500;
/** Delay before a failed call is repeated: doubled per failure up to the maximum, with jitter. */
const retryMinMs = 100;
const retryMaxMs = 1000;
/** Time after which a revision announced by gossip that no peer delivers is read from the store. */
const gossipLagMaxMs = 700;
/**
 * Shortest time from a change to the next watch and from one fetch to the next, so that the changes
 * of a storm are taken together.
 */
const watchPauseMs = 300;
const fetchPauseMs = 200;
/** Interval at which a node that starts asks a peer. */
const firstFetchIntervalMs = 250;
/** Mean interval between the reads that the non-watching nodes of the whole fleet make. */
const fleetReadIntervalMs = 900;
/** Minimum mean interval between the reads of one non-watching node. */
const nodeReadIntervalMinMs = 3000;

/** Dependencies of an `OrdersFollower`. */
export interface OrdersFollowerDependencies {
  readonly table: OrdersTable;
  readonly exchange: OrdersExchange;
  readonly watchers: WatcherSelector;
  readonly takeover: WatchTakeover;
  readonly store: RangeStore;
  /** Key prefix of the operators' entries. */
  readonly ordersPrefix: string;
  /** Key prefix of the outcomes of moves; read once at the start. */
  readonly recordsPrefix: string;
  readonly members: MemberView;
  readonly registers: RegisterGossip;
  readonly random: RandomSource;
  readonly logger: Logger;
  /** Called after an entry has changed. */
  readonly onChanged: () => void;
}

/**
 * Keeps the orders of one node up to date: watches the store if this node is selected as a watcher,
 * fetches revisions announced by gossip from peers, and reads the store if no peer delivers them.
 */
export class OrdersFollower implements System {
  readonly name = 'orders-follower';

  #isStopped = false;

  #isWatching = false;

  #isFetching = false;

  #isReading = false;

  #nextReadAtMs = 0;

  #nextWatchAtMs = 0;

  #nextFetchAtMs = 0;

  readonly #firstRead: FirstReadSchedule;

  /** Highest revision that a peer announced, and the peer. */
  #announced: { readonly revision: number; readonly fromId: string } | undefined;

  /** Time since which this node has been behind without getting any newer revision. */
  #behindSinceMs: number | undefined;

  #revisionWhenBehind = 0;

  #failures = 0;

  #retryAtMs = 0;

  #lastAnswerAtMs = Number.NEGATIVE_INFINITY;

  #isStoreDown = false;

  constructor(private readonly dependencies: OrdersFollowerDependencies) {
    const { members, watchers, random } = dependencies;
    this.#firstRead = new FirstReadSchedule(members, watchers, random);
    dependencies.registers.subscribe(RegisterKind.Head, (entry, fromId) => {
      if (entry.rank <= (this.#announced?.revision ?? 0)) return;
      this.#announced = { revision: entry.rank, fromId };
      this.#fetchAnnounced(monotonicNowMs());
    });
  }

  /** Monotonic time in ms of the store's last answer to this node; -Infinity before the first. */
  get lastStoreAnswerAtMs(): number {
    return this.#lastAnswerAtMs;
  }

  /** Whether a peer announced a newer revision than the one that this node holds. */
  get isBehind(): boolean {
    const { table, registers } = this.dependencies;
    const head = registers.read(RegisterKind.Head, headRegisterKey);
    return (head?.rank ?? 0) > table.storeRevision;
  }

  stop(): void {
    this.#isStopped = true;
  }

  run(tick: Pick<Tick, 'nowMs'>): void {
    if (this.#isStopped) return;
    this.#trackGossipLag(tick.nowMs);
    this.#fetchAnnounced(tick.nowMs);
    const { table } = this.dependencies;
    if (table.storeRevision === 0 || table.era.isUninformed) this.#askPeer(tick.nowMs);
    if (tick.nowMs < this.#retryAtMs) return;
    if (this.#isReadDue(tick.nowMs)) this.#read(tick.nowMs);
    else if (this.#isWatchDue(tick.nowMs)) this.#watch();
  }

  #isWatchDue(nowMs: number): boolean {
    if (this.#isWatching || this.#isReading || nowMs < this.#nextWatchAtMs) return false;
    return this.dependencies.table.storeRevision > 0 && this.#isWatcher();
  }

  #isWatcher(): boolean {
    return this.dependencies.watchers.isWatcher() || this.dependencies.takeover.isActive();
  }

  /** Asks a peer for its orders, so that a node that starts need not read the store. */
  #askPeer(nowMs: number): void {
    const { members, random } = this.dependencies;
    if (this.#isFetching || nowMs < this.#nextFetchAtMs) return;
    const own = members.get(members.selfId);
    const peers = [...members.all()].filter(
      ({ id, state }) => id !== members.selfId && takesNewWork(state),
    );
    const near = peers.filter(({ dataCentre }) => dataCentre === own?.dataCentre);
    const candidates = near.length > 0 ? near : peers;
    const peer = candidates[random.nextInt(Math.max(1, candidates.length))];
    if (!peer) return;
    // Revision 0 lets a peer that has no orders either answer at once.
    this.#fetch(0, peer.id);
    this.#nextFetchAtMs = nowMs + firstFetchIntervalMs;
  }

  /** Fetches the announced revision unless the last fetch was only just made. */
  #fetchAnnounced(nowMs: number): void {
    const announced = this.#announced;
    if (!announced || announced.revision <= this.dependencies.table.storeRevision) return;
    if (this.#isFetching || nowMs < this.#nextFetchAtMs) return;
    this.#nextFetchAtMs = nowMs + fetchPauseMs;
    this.#fetch(announced.revision, announced.fromId);
  }

  #trackGossipLag(nowMs: number): void {
    const { table } = this.dependencies;
    const { isBehind } = this;
    const hasAdvanced = table.storeRevision !== this.#revisionWhenBehind;
    this.#revisionWhenBehind = table.storeRevision;
    // In a storm of changes a node that follows is always behind the newest revision.
    if (!isBehind || hasAdvanced) this.#behindSinceMs = isBehind ? nowMs : undefined;
    else this.#behindSinceMs ??= nowMs;
  }

  #isReadDue(nowMs: number): boolean {
    if (this.#isReading) return false;
    if (this.dependencies.table.storeRevision === 0) {
      return this.#firstRead.isDue(nowMs);
    }
    if (this.#behindSinceMs !== undefined && nowMs - this.#behindSinceMs >= gossipLagMaxMs)
      return true;
    return !this.#isWatching && !this.#isWatcher() && nowMs >= this.#nextReadAtMs;
  }

  #scheduleRead(): void {
    const meanMs = Math.max(
      nodeReadIntervalMinMs,
      this.dependencies.members.fleetSize() * fleetReadIntervalMs,
    );
    this.#nextReadAtMs = monotonicNowMs() + meanMs * (0.5 + this.dependencies.random.next());
  }

  #read(nowMs: number): void {
    this.#isReading = true;
    const { table } = this.dependencies;
    const isBehind = this.#behindSinceMs !== undefined;
    const isRegular = table.storeRevision > 0 && !isBehind && nowMs >= this.#nextReadAtMs;
    // Only a read that is not stale shows that the store still lacks an entry.
    const mayBeStale = isRegular && table.unconfirmedCount === 0;
    this.#readStore(mayBeStale)
      .then(
        () => this.#onAnswer(),
        (error: unknown) => this.#onFailure(error),
      )
      .finally(() => {
        this.#isReading = false;
        this.#scheduleRead();
      });
  }

  /**
   * Reads the orders. Outcomes of moves are read with the first orders, and only if there is a move;
   * later ones arrive as changes or as the conflict of a write.
   */
  async #readStore(mayBeStale: boolean): Promise<void> {
    const { table, store, recordsPrefix } = this.dependencies;
    const isFirst = table.storeRevision === 0;
    const range = await this.#readOrders(mayBeStale);
    const hasMove = isFirst && range.items.some((item) => table.isMove(item));
    const records = hasMove ? await store.readRange(recordsPrefix) : undefined;
    const heldRecords = table.deltaSince(0).keys.filter((key) => key.startsWith(recordsPrefix));
    const items = [...range.items, ...(records?.items ?? [])];
    const { storeRevision } = range;
    if (table.replaceAll({ items, storeRevision }, heldRecords)) this.#onChanged();
  }

  /** Reads the orders; the first answer of a new era of the store may not be stale. */
  async #readOrders(mayBeStale: boolean): Promise<StoreRange> {
    const { table, store, ordersPrefix } = this.dependencies;
    const range = await store.readRange(ordersPrefix, { mayBeStale });
    const isNewEra = eraOf(range.storeRevision) > table.era.era;
    return mayBeStale && isNewEra ? store.readRange(ordersPrefix) : range;
  }

  #watch(): void {
    this.#isWatching = true;
    this.#watchStore()
      .then(
        () => this.#onAnswer(),
        (error: unknown) => {
          if (error instanceof HistoryCompactedError) this.#read(monotonicNowMs());
          else this.#onFailure(error);
        },
      )
      .finally(() => {
        this.#isWatching = false;
        if (this.#failures === 0) this.run({ nowMs: monotonicNowMs() });
      });
  }

  async #watchStore(): Promise<void> {
    const { table, store, ordersPrefix } = this.dependencies;
    const { watchers, takeover } = this.dependencies;
    const isLater = watchers.rank() > 0 && !takeover.isActive();
    const waitMs = isLater ? laterWatchWaitMs : watchWaitMs;
    const changes = await store.watchRange(ordersPrefix, table.storeRevision, waitMs);
    if (!table.applyChanges(changes)) return;
    this.#nextWatchAtMs = monotonicNowMs() + watchPauseMs;
    this.#onChanged();
  }

  #onChanged(): void {
    const { table, registers, exchange, logger } = this.dependencies;
    if (this.#nextReadAtMs === 0) this.#scheduleRead();
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
    this.dependencies.onChanged();
  }

  #fetch(wantedRevision: number, fromId: string): void {
    if (this.#isFetching) return;
    this.#isFetching = true;
    this.#fetchFromEach(wantedRevision, fromId)
      .catch((error: unknown) => {
        this.dependencies.logger.log(logEvents.ordersFetchFailed, {
          wantedRevision,
          error: String(error),
        });
      })
      .finally(() => {
        this.#isFetching = false;
      });
  }

  async #fetchFromEach(wantedRevision: number, fromId: string): Promise<void> {
    const { table, exchange, members, watchers } = this.dependencies;
    const changesBefore = table.changesCount;
    let lastError: unknown;
    for (const peer of selectFetchPeers(members, watchers, fromId)) {
      try {
        if (await exchange.fetchFrom(peer, wantedRevision)) break;
      } catch (error) {
        lastError = error;
      }
    }
    if (table.changesCount > changesBefore) this.#onChanged();
    if (table.storeRevision < wantedRevision && lastError !== undefined) throw lastError;
  }

  #onAnswer(): void {
    this.#lastAnswerAtMs = monotonicNowMs();
    this.#failures = 0;
    if (this.#isStoreDown) this.dependencies.logger.log(logEvents.storeAvailable);
    this.#isStoreDown = false;
  }

  #onFailure(error: unknown): void {
    const delayMaxMs = Math.min(retryMaxMs, retryMinMs * 2 ** this.#failures);
    this.#failures += 1;
    this.dependencies.takeover.passOn();
    this.#retryAtMs = monotonicNowMs() + delayMaxMs * (0.5 + this.dependencies.random.next() / 2);
    if (!this.#isStoreDown) {
      this.dependencies.logger.log(logEvents.storeUnavailable, { error: String(error) });
    }
    this.#isStoreDown = true;
  }
}
