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
 * Longest wait of one watch call. A connection can stop delivering data without an error, and a long
 * watch on it would hide changes; a wait of 2.5 s keeps a change within its 2 s deadline, which
 * starts after the 3 s that are allowed to a machine whose connections were reset.
 */
const watchWaitMs = 2500;
/** Delay before a failed call is repeated: doubled per failure up to the maximum, with jitter. */
const retryMinMs = 100;
const retryMaxMs = 1000;
/** Time after which a revision announced by gossip that no peer delivers is read from the store. */
const gossipLagMaxMs = 350;
/** Mean interval between the reads that the non-watching nodes of the whole fleet make. */
const fleetReadIntervalMs = 900;
/** Minimum mean interval between the reads of one non-watching node. */
const nodeReadIntervalMinMs = 3000;

/** Dependencies of an `OrdersFollower`. */
export interface OrdersFollowerDependencies {
  readonly table: OrdersTable;
  readonly exchange: OrdersExchange;
  readonly watchers: WatcherSelector;
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

  #behindSinceMs: number | undefined;

  #failures = 0;

  #retryAtMs = 0;

  #lastAnswerAtMs = Number.NEGATIVE_INFINITY;

  #isStoreDown = false;

  constructor(private readonly dependencies: OrdersFollowerDependencies) {
    dependencies.registers.subscribe(RegisterKind.Head, (entry, fromId) => {
      if (entry.rank > dependencies.table.storeRevision) this.#fetch(entry.rank, fromId);
    });
  }

  /** Monotonic time in ms of the store's last answer to this node; -Infinity before the first. */
  get lastStoreAnswerAtMs(): number {
    return this.#lastAnswerAtMs;
  }

  stop(): void {
    this.#isStopped = true;
  }

  run(tick: Pick<Tick, 'nowMs'>): void {
    if (this.#isStopped) return;
    this.#trackGossipLag(tick.nowMs);
    if (tick.nowMs < this.#retryAtMs) return;
    if (this.#isReadDue(tick.nowMs)) this.#read();
    else if (!this.#isWatching && !this.#isReading && this.dependencies.watchers.isWatcher()) {
      this.#watch();
    }
  }

  /** Fetches the newest orders from a peer, so that a joining node need not wait for the store. */
  fetchFromPeers(): void {
    const { table, members } = this.dependencies;
    const peer = [...members.all()].find(
      ({ id, state }) => id !== members.selfId && state === MemberState.Alive,
    );
    if (peer) this.#fetch(table.storeRevision + 1, peer.id);
  }

  #trackGossipLag(nowMs: number): void {
    const head = this.dependencies.registers.read(RegisterKind.Head, headRegisterKey);
    const isBehind = (head?.rank ?? 0) > this.dependencies.table.storeRevision;
    if (!isBehind) this.#behindSinceMs = undefined;
    else this.#behindSinceMs ??= nowMs;
  }

  #isReadDue(nowMs: number): boolean {
    if (this.#isReading) return false;
    if (this.dependencies.table.storeRevision === 0) return true;
    if (this.#behindSinceMs !== undefined && nowMs - this.#behindSinceMs >= gossipLagMaxMs)
      return true;
    return (
      !this.#isWatching && !this.dependencies.watchers.isWatcher() && nowMs >= this.#nextReadAtMs
    );
  }

  #scheduleRead(): void {
    const meanMs = Math.max(
      nodeReadIntervalMinMs,
      this.dependencies.members.fleetSize() * fleetReadIntervalMs,
    );
    this.#nextReadAtMs = monotonicNowMs() + meanMs * (0.5 + this.dependencies.random.next());
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
    const { table, store, ordersPrefix, recordsPrefix } = this.dependencies;
    const isFirst = table.storeRevision === 0;
    const [range, records] = await Promise.all([
      store.readRange(ordersPrefix),
      isFirst ? store.readRange(recordsPrefix) : undefined,
    ]);
    const heldRecords = table
      .deltaSince(0)
      .items.filter(({ key }) => key.startsWith(recordsPrefix));
    const items = [...range.items, ...(records?.items ?? heldRecords)];
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
    const { table, store, ordersPrefix } = this.dependencies;
    const changes = await store.watchRange(ordersPrefix, table.storeRevision, watchWaitMs);
    if (table.applyChanges(changes)) this.#onChanged();
  }

  #onChanged(): void {
    const { table, registers, exchange, logger } = this.dependencies;
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
        const head = this.dependencies.registers.read(RegisterKind.Head, headRegisterKey);
        const isNewer =
          head && head.rank > Math.max(wantedRevision, this.dependencies.table.storeRevision);
        if (isNewer) this.#fetch(head.rank, fromId);
      });
  }

  async #fetchFromEach(wantedRevision: number, fromId: string): Promise<void> {
    const { table, exchange } = this.dependencies;
    const changedRevisionBefore = table.changedRevision;
    let lastError: unknown;
    for (const peer of this.#peersFor(fromId)) {
      try {
        if (await exchange.fetchFrom(peer, wantedRevision)) break;
      } catch (error) {
        lastError = error;
      }
    }
    if (table.changedRevision > changedRevisionBefore) this.#onChanged();
    if (table.storeRevision < wantedRevision && lastError !== undefined) throw lastError;
  }

  /**
   * Returns the peers to ask, in order: a sender in the own data centre and then a local watcher, which
   * receives changes from the store itself; or the local watcher first and then a remote sender,
   * because traffic between data centres is expensive.
   */
  #peersFor(fromId: string): readonly MemberRow[] {
    const { members, watchers, random } = this.dependencies;
    const self = members.get(members.selfId);
    const sender = members.get(fromId);
    const localWatchers = watchers
      .ownDataCentreWatchers()
      .filter(({ id }) => id !== members.selfId);
    const watcher = localWatchers[random.nextInt(Math.max(1, localWatchers.length))];
    const isSenderLocal = sender?.dataCentre === self?.dataCentre;
    const peers = isSenderLocal ? [sender, watcher] : [watcher, sender];
    return [...new Set(peers.filter((peer) => peer !== undefined))];
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
    this.#retryAtMs = monotonicNowMs() + delayMaxMs * (0.5 + this.dependencies.random.next() / 2);
    if (!this.#isStoreDown) {
      this.dependencies.logger.log(logEvents.storeUnavailable, { error: String(error) });
    }
    this.#isStoreDown = true;
  }
}
