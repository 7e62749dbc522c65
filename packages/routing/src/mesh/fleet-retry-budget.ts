import { monotonicNowMs, Table } from '@sequoiafield/tables';

/** Operators' limit of repeats that reach the servers of a service. */
export interface RetryLimit {
  /** Repeats per request. */
  readonly ratio: number;
  /** Repeats beside the ratio, for the whole fleet. */
  readonly slack: number;
  readonly windowMs: number;
}

/**
 * Part of the limit that nodes spend by themselves. A repeated run repeats its own calls, and those
 * count as repeats at the called service as well.
 */
const spentPart = 0.5;
const bucketsPerWindow = 20;

interface Bucket {
  readonly startMs: number;
  requests: number;
  repeats: number;
}

/**
 * Part of one node in the fleet's budget of repeats: the ratio of its own requests, and an even part of
 * the slack. It needs no agreement, and a node that is cut off spends no more than its part.
 *
 * @example
 * const budget = new FleetRetryBudget(limit, () => members.fleetSize());
 * budget.recordRequest('settlement');
 * if (budget.take('settlement')) sendAgain();
 */
export class FleetRetryBudget {
  readonly #services = new Table<Bucket[]>('retry-budgets');

  constructor(
    private readonly limit: RetryLimit,
    private readonly fleetSize: () => number,
  ) {}

  recordRequest(service: string): void {
    this.#bucketNow(service).requests += 1;
  }

  /** Takes one repeat; false if this node's part is spent. */
  take(service: string): boolean {
    const now = this.#bucketNow(service);
    let requests = 0;
    let repeats = 0;
    for (const bucket of this.#services.get(service) ?? []) {
      requests += bucket.requests;
      repeats += bucket.repeats;
    }
    const slack = this.limit.slack / Math.max(1, this.fleetSize());
    if (repeats + 1 > spentPart * (this.limit.ratio * requests + slack)) return false;
    now.repeats += 1;
    return true;
  }

  #bucketNow(service: string): Bucket {
    const nowMs = monotonicNowMs();
    const spanMs = this.limit.windowMs / bucketsPerWindow;
    const buckets = (this.#services.get(service) ?? []).filter(
      ({ startMs }) => startMs > nowMs - this.limit.windowMs,
    );
    let last = buckets.at(-1);
    if (!last || nowMs - last.startMs >= spanMs) {
      last = { startMs: nowMs, requests: 0, repeats: 0 };
      buckets.push(last);
    }
    this.#services.set(service, buckets);
    return last;
  }
}
