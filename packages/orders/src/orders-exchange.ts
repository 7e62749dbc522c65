import { DistributionError } from '@sequoiafield/errors';
import { LinkRequestKind, type LinkRequester, type MemberRow } from '@sequoiafield/types';
import type { OrdersDelta, OrdersTable } from './orders-table.js';

/** Time for a peer to answer; a second one is asked or the store is read after it. */
const requestTimeoutMs = 400;
/** How long a peer waits for a revision that it heard of and does not hold yet. */
const holdMaxMs = 250;

interface OrdersRequest {
  readonly sinceRevision: number;
  readonly wantedRevision: number;
}

const readRequest = (body: unknown): OrdersRequest => {
  const { sinceRevision, wantedRevision } = (body ?? {}) as Partial<OrdersRequest>;
  if (typeof sinceRevision !== 'number' || typeof wantedRevision !== 'number') {
    throw new DistributionError('The request for orders is malformed');
  }
  return { sinceRevision, wantedRevision };
};

const readDelta = (body: unknown, peerId: string): OrdersDelta => {
  const delta = (body ?? {}) as Partial<OrdersDelta>;
  const isDelta =
    typeof delta.storeRevision === 'number' &&
    Array.isArray(delta.keys) &&
    Array.isArray(delta.items);
  if (!isDelta) throw new DistributionError(`The orders of ${peerId} are malformed`);
  return delta as OrdersDelta;
};

/** Exchanges the entries that changed between nodes. */
export class OrdersExchange {
  #waiting: { readonly wantedRevision: number; readonly wake: () => void }[] = [];

  constructor(
    private readonly table: OrdersTable,
    private readonly links: LinkRequester,
  ) {
    links.handle(LinkRequestKind.Orders, (body) => this.#answer(readRequest(body)));
  }

  /**
   * Fetches what this node lacks; says whether it is then complete up to `wantedRevision`. Rejects if
   * the peer does not answer in time.
   */
  async fetchFrom(peer: MemberRow, wantedRevision: number): Promise<boolean> {
    const sinceRevision = this.table.storeRevision;
    const body: OrdersRequest = { sinceRevision, wantedRevision };
    const answer = await this.links.request(peer, LinkRequestKind.Orders, body, requestTimeoutMs);
    const delta = readDelta(answer, peer.id);
    if (this.table.isCompleteAfter(delta)) this.table.applyDelta(delta);
    return this.table.storeRevision >= wantedRevision;
  }

  /** Answers the peers that wait for a revision which this node holds now. */
  answerPendingRequests(): void {
    const ready = this.#waiting.filter(
      ({ wantedRevision }) => wantedRevision <= this.table.storeRevision,
    );
    ready.forEach(({ wake }) => wake());
  }

  async #answer({ sinceRevision, wantedRevision }: OrdersRequest): Promise<OrdersDelta> {
    if (this.table.storeRevision < wantedRevision) await this.#untilHeld(wantedRevision);
    return this.table.deltaSince(sinceRevision);
  }

  #untilHeld(wantedRevision: number): Promise<void> {
    return new Promise((resolve) => {
      const entry = {
        wantedRevision,
        wake: (): void => {
          this.#waiting = this.#waiting.filter((other) => other !== entry);
          resolve();
        },
      };
      // A timer that fires after an earlier wake finds nothing to do.
      setTimeout(entry.wake, holdMaxMs);
      this.#waiting.push(entry);
    });
  }
}
