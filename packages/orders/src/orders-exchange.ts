import { DistributionError } from '@sequoiafield/errors';
import { LinkRequestKind, type LinkRequester, type MemberRow } from '@sequoiafield/types';
import type { OrdersDelta, OrdersTable } from './orders-table.js';

/** Time for a peer to answer, after which another peer is asked or the store is read. */
const requestTimeoutMs = 400;
/** Longest time that an answer is delayed until this node holds the requested revision. */
const answerDelayMaxMs = 250;

interface OrdersRequest {
  readonly sinceRevision: number;
  readonly wantedRevision: number;
}

const readRequest = (body: unknown): OrdersRequest => {
  const { sinceRevision, wantedRevision } = (body ?? {}) as Partial<OrdersRequest>;
  if (typeof sinceRevision !== 'number' || typeof wantedRevision !== 'number') {
    throw new DistributionError('Orders request lacks a numeric sinceRevision or wantedRevision');
  }
  return { sinceRevision, wantedRevision };
};

const readDelta = (body: unknown, peerId: string): OrdersDelta => {
  const delta = (body ?? {}) as Partial<OrdersDelta>;
  const isDelta =
    typeof delta.storeRevision === 'number' &&
    Array.isArray(delta.keys) &&
    Array.isArray(delta.items);
  if (!isDelta)
    throw new DistributionError(
      `Orders delta of peer ${peerId} lacks storeRevision, keys or items`,
    );
  return delta as OrdersDelta;
};

/** Requests changed entries from peers and answers their requests. */
export class OrdersExchange {
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
    const sinceRevision = this.table.storeRevision;
    const body: OrdersRequest = { sinceRevision, wantedRevision };
    const answer = await this.links.request(peer, LinkRequestKind.Orders, body, requestTimeoutMs);
    const delta = readDelta(answer, peer.id);
    if (this.table.isCompleteAfter(delta)) this.table.applyDelta(delta);
    return this.table.storeRevision >= wantedRevision;
  }

  /** Answers the pending requests of peers for a revision that this node now holds. */
  answerPendingRequests(): void {
    const ready = this.#pendingRequests.filter(
      ({ wantedRevision }) => wantedRevision <= this.table.storeRevision,
    );
    ready.forEach(({ answer }) => answer());
  }

  async #answer({ sinceRevision, wantedRevision }: OrdersRequest): Promise<OrdersDelta> {
    if (this.table.storeRevision < wantedRevision) await this.#waitForRevision(wantedRevision);
    return this.table.deltaSince(sinceRevision);
  }

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
