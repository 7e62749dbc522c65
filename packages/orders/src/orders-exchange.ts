import { DistributionError } from '@sequoiafield/errors';
import { LinkRequestKind, type LinkRequester, type MemberRow } from '@sequoiafield/types';
import { readDeltaEra, readRemovals, type DeltaEra } from './delta-era.js';
import { EntryCodec, type WireEntry } from './entry-codec.js';
import type { OrdersDelta, OrdersTable } from './orders-table.js';
import type { Removal } from './removed-entries.js';

/** Time for a peer to answer, after which another peer is asked or the store is read. */
const requestTimeoutMs = 400;
/** Longest time that an answer is delayed until this node holds the requested revision. */
const answerDelayMaxMs = 250;

interface OrdersRequest {
  readonly sinceRevision: number;
  readonly wantedRevision: number;
  /**
   * Revisions of the large entries that the sender holds, as bases of patches. Nodes that leave it out
   * understand whole values only.
   */
  readonly held?: readonly (readonly [key: string, revision: number])[];
  /** Revision up to which the sender knows the former eras of the store; left out if it knows none. */
  readonly formerRevision?: number;
}

/** Entries on the wire. */
interface WireDelta {
  readonly storeRevision: number;
  readonly keys: readonly string[];
  readonly items: readonly WireEntry[];
  readonly removals?: readonly Removal[];
  readonly era?: DeltaEra | undefined;
}

const readRequest = (body: unknown): OrdersRequest => {
  const request = (body ?? {}) as Partial<OrdersRequest>;
  const { sinceRevision, wantedRevision, held, formerRevision } = request;
  if (typeof sinceRevision !== 'number' || typeof wantedRevision !== 'number') {
    throw new DistributionError('Orders request lacks a numeric sinceRevision or wantedRevision');
  }
  return {
    sinceRevision,
    wantedRevision,
    ...(Array.isArray(held) && { held }),
    ...(typeof formerRevision === 'number' && { formerRevision }),
  };
};

const readDelta = (body: unknown, peerId: string): WireDelta => {
  const delta = (body ?? {}) as Partial<WireDelta>;
  const isDelta =
    typeof delta.storeRevision === 'number' &&
    Array.isArray(delta.keys) &&
    Array.isArray(delta.items);
  if (!isDelta)
    throw new DistributionError(
      `Orders delta of peer ${peerId} lacks storeRevision, keys or items`,
    );
  const { storeRevision, keys, items } = delta as WireDelta;
  const removals = readRemovals(delta.removals);
  return { storeRevision, keys, items, removals, era: readDeltaEra(delta.era, storeRevision) };
};

/** Requests changed entries from peers and answers their requests. */
export class OrdersExchange {
  readonly #codec = new EntryCodec();

  #pendingRequests: { readonly wantedRevision: number; readonly answer: () => void }[] = [];

  constructor(
    private readonly table: OrdersTable,
    private readonly links: LinkRequester,
  ) {
    links.handle(LinkRequestKind.Orders, (body) => this.#answer(readRequest(body)));
  }

  /**
   * Fetches the entries that this node lacks and returns whether it is then complete up to
   * `wantedRevision`. Rejects if the peer does not answer in time.
   */
  async fetchFrom(peer: MemberRow, wantedRevision: number): Promise<boolean> {
    const { era, storeRevision } = this.table;
    const sinceRevision = era.isUninformed ? 0 : storeRevision;
    const held = this.table.largeEntries();
    const former = era.formerRevision > 0 && { formerRevision: era.formerRevision };
    const body: OrdersRequest = { sinceRevision, wantedRevision, held, ...former };
    const answer = await this.links.request(peer, LinkRequestKind.Orders, body, requestTimeoutMs);
    const delta = this.#decode(readDelta(answer, peer.id));
    if (this.table.isCompleteAfter(delta)) this.table.applyDelta(delta);
    if (sinceRevision === 0) this.table.notePeerAnswer();
    return this.table.storeRevision >= wantedRevision;
  }

  /** Answers the pending requests of peers for a revision that this node now holds. */
  answerPendingRequests(): void {
    const ready = this.#pendingRequests.filter(
      ({ wantedRevision }) => wantedRevision <= this.table.storeRevision,
    );
    ready.forEach(({ answer }) => answer());
  }

  async #answer(request: OrdersRequest): Promise<WireDelta> {
    const { sinceRevision, wantedRevision, held, formerRevision } = request;
    if (this.table.storeRevision < wantedRevision) await this.#waitForRevision(wantedRevision);
    const delta = this.table.deltaSince(sinceRevision, formerRevision);
    if (held === undefined) return delta;
    const heldRevisions = new Map(held);
    const lacked = delta.items.filter(({ key, revision }) => heldRevisions.get(key) !== revision);
    const items = lacked.map((item) =>
      this.#codec.encode(item, heldRevisions.get(item.key) ?? 0, this.#valueAt),
    );
    return { ...delta, items };
  }

  /** Decodes entries; those whose base is gone stay missing, so that the delta is incomplete. */
  #decode({ items, ...delta }: WireDelta): OrdersDelta {
    const decoded = items.flatMap((entry) => this.#codec.decode(entry, this.#valueAt) ?? []);
    const isComplete = decoded.length === items.length;
    if (!isComplete) return { storeRevision: 0, keys: delta.keys, items: decoded };
    return { ...delta, items: decoded };
  }

  readonly #valueAt = (key: string, revision: number): Uint8Array | undefined =>
    this.table.valueAt(key, revision);

  #waitForRevision(wantedRevision: number): Promise<void> {
    return new Promise((resolve) => {
      const entry = {
        wantedRevision,
        answer: (): void => {
          this.#pendingRequests = this.#pendingRequests.filter((other) => other !== entry);
          resolve();
        },
      };
      // If the request was answered earlier, the timer has no effect.
      setTimeout(entry.answer, answerDelayMaxMs);
      this.#pendingRequests.push(entry);
    });
  }
}
