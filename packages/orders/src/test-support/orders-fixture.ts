import assert from 'node:assert/strict';
import { DistributionError } from '@sequoiafield/errors';
import { SilentLogger } from '@sequoiafield/logger';
import { SeededRandom, TickLoop } from '@sequoiafield/tables';
import {
  MemberState,
  type DirectMessenger,
  type LinkRequester,
  type MemberRow,
  type MemberView,
  type RegisterEntry,
  type RegisterGossip,
} from '@sequoiafield/types';
import { createOrders, type Orders } from '../index.js';
import { decodeOrderText, type FakeRangeStore } from './fake-range-store.js';

type Handler = (body: unknown, fromId: string) => unknown;

/** Fleet of nodes whose registers and links deliver without delay. */
export class OrdersFixture {
  readonly nodes = new Map<string, { readonly orders: Orders; readonly store: FakeRangeStore }>();

  readonly #handlers = new Map<string, Handler>();

  readonly #receivers = new Map<string, (body: unknown, fromId: string) => void>();

  readonly #subscribers: ((entry: RegisterEntry, fromId: string) => void)[] = [];

  readonly #rows: MemberRow[] = [];

  #head: RegisterEntry | undefined;

  isLinked = true;

  /** Time in ms that each answer over a link takes. */
  linkDelayMs = 0;

  constructor(dataCentres: readonly string[], storeOf: (id: string) => FakeRangeStore) {
    dataCentres.forEach((dataCentre, index) => this.#addRow(`n${index}`, dataCentre));
    for (const { id } of this.#rows) this.#addNode(id, storeOf(id));
  }

  versions(): readonly (number | undefined)[] {
    return [...this.nodes.values()].map(
      ({ orders }) => orders.view.current().configuration?.version,
    );
  }

  #addRow(id: string, dataCentre: string): void {
    this.#rows.push({
      ...{ id, dataCentre, incarnation: 1, address: id, gossipPort: 1, linkPort: 1, callPort: 1 },
      ...{ region: 'r', service: '', backendVersion: '', state: MemberState.Alive },
      ...{ configVersion: 0, stateChangedAtMs: 0 },
    });
  }

  #addNode(id: string, store: FakeRangeStore): void {
    const members: MemberView = {
      revision: () => 0,
      selfId: id,
      fleetSize: () => this.#rows.length,
      get: (other) => this.#rows.find((row) => row.id === other),
      all: () => this.#rows,
      ofService: () => [],
    };
    const orders = createOrders({
      ...{ store, members, ordersPrefix: 'op/', recordsPrefix: 'status/' },
      decoder: { decode: decodeOrderText },
      registers: this.#registers(id),
      links: this.#links(id),
      messenger: this.#messenger(id),
      random: new SeededRandom(Number(id.slice(1)) + 1),
      logger: new SilentLogger(),
      onChanged: () => undefined,
    });
    this.nodes.set(id, { orders, store });
    new TickLoop([...orders.systems], (_, error) => assert.fail(String(error))).start();
  }

  #registers(id: string): RegisterGossip {
    return {
      publish: (entry) => {
        if (entry.rank <= (this.#head?.rank ?? 0)) return false;
        this.#head = entry;
        this.#subscribers.forEach((handler) => handler(entry, id));
        return true;
      },
      read: () => this.#head,
      subscribe: (_, handler) => this.#subscribers.push(handler),
    };
  }

  #messenger(id: string): DirectMessenger {
    return {
      send: (toId, _, body) => this.#receivers.get(toId)?.(body, id),
      subscribe: (_, handler) => this.#receivers.set(id, handler),
    };
  }

  #links(id: string): LinkRequester {
    return {
      handle: (_, handler) => this.#handlers.set(id, handler),
      request: async (member, _, body) => {
        if (!this.isLinked) throw new DistributionError(`No link from ${id} to ${member.id}`);
        const answer = await this.#handlers.get(member.id)?.(body, id);
        if (this.linkDelayMs > 0) {
          await new Promise((resolve) => {
            setTimeout(resolve, this.linkDelayMs);
          });
        }
        return answer;
      },
    };
  }
}
