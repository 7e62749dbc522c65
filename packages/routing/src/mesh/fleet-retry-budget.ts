import { monotonicNowMs, Table } from '@sequoiafield/tables';

/** Limit, set by operators, of the retries that reach the servers of a service. */
export interface RetryLimit {
  /** Retries per request. */
  readonly ratio: number;
  /** Retries of the whole fleet that are allowed in addition to the ratio. */
  readonly slack: number;
  readonly windowMs: number;
}

/**
 * Share of the limit that the nodes' own retries may use. A retried run sends its own calls again, and
 * those count as retries at the called service as well.
 */
const nodeRetryShare = 0.4;
const bucketsPerWindow = 20;
/**
 * Time after its start in which a node uses no slack. It knows few members then, and would take most of
 * the slack of all for its part.
 */
const slackDelayMs = 3000;

interface Bucket {
  readonly startMs: number;
  requests: number;
  retries: number;
}

/**
 * One node's part of the fleet's retry budget: the ratio of its own requests and an equal part of the
 * slack. The nodes need no coordination, and a partitioned node uses no more than its part.
 *
 * @example
 * const budget = new FleetRetryBudget(limit, () => members.fleetSize());
 * budget.recordRequest('settlement');
 * if (budget.takeRetry('settlement')) sendAgain();
 */
export class FleetRetryBudget {
  readonly #services = new Table<Bucket[]>('retry-budgets');

  readonly #startedAtMs = monotonicNowMs();

  constructor(
    private readonly limit: RetryLimit,
    private readonly fleetSize: () => number,
  ) {}

  recordRequest(service: string): void {
    this.#bucketNow(service).requests += 1;
  }

  /** Takes one retry; returns false if this node's part is used up. */
  takeRetry(service: string): boolean {
    const currentBucket = this.#bucketNow(service);
    let requests = 0;
    let retries = 0;
    for (const bucket of this.#services.get(service) ?? []) {
      requests += bucket.requests;
      retries += bucket.retries;
    }
    const hasSlack = monotonicNowMs() - this.#startedAtMs >= slackDelayMs;
    const nodeSlack = hasSlack ? this.limit.slack / Math.max(1, this.fleetSize()) : 0;
    if (retries + 1 > nodeRetryShare * (this.limit.ratio * requests + nodeSlack)) return false;
    currentBucket.retries += 1;
    return true;
  }

  #bucketNow(service: string): Bucket {
    const nowMs = monotonicNowMs();
    const bucketSpanMs = this.limit.windowMs / bucketsPerWindow;
    const buckets = (this.#services.get(service) ?? []).filter(
      ({ startMs }) => startMs > nowMs - this.limit.windowMs,
    );
    let lastBucket = buckets.at(-1);
    if (!lastBucket || nowMs - lastBucket.startMs >= bucketSpanMs) {
      lastBucket = { startMs: nowMs, requests: 0, retries: 0 };
      buckets.push(lastBucket);
    }
    this.#services.set(service, buckets);
    return lastBucket;
  }
}
