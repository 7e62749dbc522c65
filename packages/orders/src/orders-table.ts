import { logEvents, type Logger } from '@sequoiafield/logger';
import { isRemoval, type StoreChanges, type StoreItem, type StoreRange } from '@sequoiafield/store';
import { Table } from '@sequoiafield/tables';
import type {
  MeshConfiguration,
  MeshOrders,
  MoveOrder,
  MoveRecord,
  OrdersView,
} from '@sequoiafield/types';
import { OrderKind, type Order, type OrdersDecoder } from './orders-decoder.js';

/** Entries of one node that another lacks. */
export interface OrdersDelta {
  readonly storeRevision: number;
  /** Every key of the range, so that removals show. */
  readonly keys: readonly string[];
  readonly items: readonly StoreItem[];
}

interface OrderRow {
  readonly item: StoreItem;
  /** Undefined if the entry is malformed. */
  readonly order: Order | undefined;
}

const emptyOrders: MeshOrders = {
  storeRevision: 0,
  configuration: undefined,
  moves: new Map(),
  moveRecords: new Map(),
  evacuatedDataCentres: new Set(),
};

/**
 * Entries of the operators, complete up to a revision of the store. It never goes back: older
 * revisions and older versions of the configuration are ignored.
 *
 * @example
 * const table = new OrdersTable(decoder, logger);
 * table.replaceAll(await store.readRange(prefix));
 * table.current().configuration?.version;
 */
export class OrdersTable implements OrdersView {
  readonly #rows = new Table<OrderRow>('orders');

  #orders = emptyOrders;

  /** Revision of the last change, which is lower than that of the store if other keys changed. */
  #changedRevision = 0;

  constructor(
    private readonly decoder: OrdersDecoder,
    private readonly logger: Logger,
  ) {}

  get storeRevision(): number {
    return this.#orders.storeRevision;
  }

  get changedRevision(): number {
    return this.#changedRevision;
  }

  current(): MeshOrders {
    return this.#orders;
  }

  /** Takes over a whole range; says whether an entry changed. */
  replaceAll(range: StoreRange): boolean {
    const keys = range.items.map(({ key }) => key);
    return this.applyDelta({ storeRevision: range.storeRevision, keys, items: range.items });
  }

  /** Takes over the changes that a watch delivered; says whether an entry changed. */
  applyChanges({ changes, storeRevision }: StoreChanges): boolean {
    if (storeRevision <= this.storeRevision) return false;
    let isChanged = false;
    for (const change of changes) {
      if (isRemoval(change)) isChanged = this.#remove(change.key, change.revision) || isChanged;
      else isChanged = this.#put(change) || isChanged;
    }
    this.#publish(storeRevision, isChanged);
    return isChanged;
  }

  /** Takes over what another node or a range names; says whether an entry changed. */
  applyDelta(delta: OrdersDelta): boolean {
    if (delta.storeRevision <= this.storeRevision) return false;
    const keys = new Set(delta.keys);
    let isChanged = false;
    for (const key of [...this.#rows.ids()]) {
      if (!keys.has(key)) isChanged = this.#remove(key, delta.storeRevision) || isChanged;
    }
    for (const item of delta.items) isChanged = this.#put(item) || isChanged;
    this.#publish(delta.storeRevision, isChanged);
    return isChanged;
  }

  /** Whether this node would hold every key of the delta after it took it over. */
  isCompleteAfter(delta: OrdersDelta): boolean {
    const given = new Set(delta.items.map(({ key }) => key));
    return delta.keys.every((key) => given.has(key) || this.#rows.has(key));
  }

  /** What a node lacks that is complete up to `sinceRevision`. */
  deltaSince(sinceRevision: number): OrdersDelta {
    const items = [...this.#rows.rows()].map(({ item }) => item);
    return {
      storeRevision: this.storeRevision,
      keys: items.map(({ key }) => key),
      items: items.filter(({ revision }) => revision > sinceRevision),
    };
  }

  #put(item: StoreItem): boolean {
    const known = this.#rows.get(item.key);
    if (known && known.item.revision >= item.revision) return false;
    this.#rows.set(item.key, { item, order: this.#decode(item) });
    this.#changedRevision = Math.max(this.#changedRevision, item.revision);
    return true;
  }

  #remove(key: string, revision: number): boolean {
    const known = this.#rows.get(key);
    if (!known || known.item.revision > revision) return false;
    this.#rows.delete(key);
    this.#changedRevision = Math.max(this.#changedRevision, revision);
    return true;
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

  #publish(storeRevision: number, isChanged: boolean): void {
    if (!isChanged) {
      this.#orders = { ...this.#orders, storeRevision };
      return;
    }
    const moves = new Map<string, MoveOrder>();
    const moveRecords = new Map<string, MoveRecord>();
    const evacuatedDataCentres = new Set<string>();
    let { configuration } = this.#orders;
    for (const { order } of this.#rows.rows()) {
      if (order?.kind === OrderKind.Move) moves.set(order.move.service, order.move);
      else if (order?.kind === OrderKind.MoveRecord) {
        moveRecords.set(order.record.service, order.record);
      } else if (order?.kind === OrderKind.Evacuation) evacuatedDataCentres.add(order.dataCentre);
      else if (order) configuration = this.#newer(configuration, order.configuration);
    }
    this.#orders = { storeRevision, configuration, moves, moveRecords, evacuatedDataCentres };
  }

  #newer(known: MeshConfiguration | undefined, heard: MeshConfiguration): MeshConfiguration {
    return known && known.version >= heard.version ? known : heard;
  }
}
