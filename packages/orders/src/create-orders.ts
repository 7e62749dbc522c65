import type { Logger } from '@sequoiafield/logger';
import type { RangeStore } from '@sequoiafield/store';
import type { RandomSource, System } from '@sequoiafield/tables';
import type {
  DirectMessenger,
  LinkRequester,
  MemberView,
  OrdersView,
  RegisterGossip,
} from '@sequoiafield/types';
import type { OrdersDecoder } from './orders-decoder.js';
import { OrdersExchange } from './orders-exchange.js';
import { OrdersFollower } from './orders-follower.js';
import { OrdersTable } from './orders-table.js';
import { WatchTakeover } from './watch-takeover.js';
import { WatcherSelector } from './watcher-selector.js';

/** Dependencies of the orders of one node. */
export interface OrdersOptions {
  readonly store: RangeStore;
  readonly decoder: OrdersDecoder;
  readonly ordersPrefix: string;
  readonly recordsPrefix: string;
  readonly members: MemberView;
  readonly registers: RegisterGossip;
  readonly messenger: DirectMessenger;
  readonly links: LinkRequester;
  readonly random: RandomSource;
  readonly logger: Logger;
  /** Called after an entry has changed. */
  readonly onChanged: () => void;
}

/** The orders that one node holds, and the system that keeps them up to date. */
export interface Orders {
  readonly view: OrdersView;
  readonly systems: readonly System[];
  /** Monotonic time in ms of the store's last answer to this node; -Infinity before the first. */
  lastStoreAnswerAtMs(): number;
  /** Whether a peer announced a newer revision than the one that this node holds. */
  isBehind(): boolean;
  /** Era of the store that this node has seen; 0 if the store names none. */
  storeEra(): number;
  /** Entries that stay active although the store has not shown them in its current era. */
  unconfirmedEntries(): number;
  stop(): void;
}

/**
 * Creates the orders of one node. Run its `systems` in the node's tick loop.
 *
 * @example
 * const orders = createOrders({ store, decoder, ordersPrefix, recordsPrefix, ...fleet, onChanged });
 * orders.view.current().configuration?.version;
 */
export const createOrders = (options: OrdersOptions): Orders => {
  const table = new OrdersTable(options.decoder, options.logger);
  const exchange = new OrdersExchange(table, options.links);
  const watchers = new WatcherSelector(options.members);
  const takeover = new WatchTakeover(watchers, options.messenger, options.logger);
  const follower = new OrdersFollower({ ...options, table, exchange, watchers, takeover });
  return {
    view: table,
    systems: [follower],
    lastStoreAnswerAtMs: () => follower.lastStoreAnswerAtMs,
    isBehind: () => follower.isBehind,
    storeEra: () => table.era.era,
    unconfirmedEntries: () => table.unconfirmedCount,
    stop: () => follower.stop(),
  };
};
