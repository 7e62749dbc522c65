import type { LeaseStore, StoreLease, StoreTransaction, TransactionResult } from './lease-store.js';
import type {
  ReadOptions,
  StoreChanges,
  StoreRange,
  StoreWrite,
  WriteCondition,
  WriteResult,
} from './range-store.js';

/** Calls of one node to the platform's store, by kind. */
export interface StoreCallCounters {
  reads: number;
  /** Reads whose answer may be some seconds old. */
  staleReads: number;
  watches: number;
  writes: number;
  /** Leases that were granted or renewed. */
  leaseCalls: number;
  /** Calls of any kind that failed. */
  failures: number;
}

/**
 * Counts the calls to a store, since the platform counts and limits them for the whole fleet.
 *
 * @example
 * const store = new CountedRangeStore(client);
 * await store.readRange('op/');
 * store.counters.reads; // 1
 */
export class CountedRangeStore implements LeaseStore {
  readonly counters: StoreCallCounters = {
    reads: 0,
    staleReads: 0,
    watches: 0,
    writes: 0,
    leaseCalls: 0,
    failures: 0,
  };

  constructor(private readonly store: LeaseStore) {}

  readRange(prefix: string, options: ReadOptions = {}): Promise<StoreRange> {
    if (options.mayBeStale) this.counters.staleReads += 1;
    else this.counters.reads += 1;
    return this.#countFailure(this.store.readRange(prefix, options));
  }

  watchRange(prefix: string, afterRevision: number, waitMs: number): Promise<StoreChanges> {
    this.counters.watches += 1;
    return this.#countFailure(this.store.watchRange(prefix, afterRevision, waitMs));
  }

  writeIf(
    conditions: readonly WriteCondition[],
    writes: readonly StoreWrite[],
  ): Promise<WriteResult> {
    this.counters.writes += 1;
    return this.#countFailure(this.store.writeIf(conditions, writes));
  }

  grantLease(ttlMs: number): Promise<StoreLease> {
    this.counters.leaseCalls += 1;
    return this.#countFailure(this.store.grantLease(ttlMs));
  }

  renewLease(leaseId: number): Promise<StoreLease | undefined> {
    this.counters.leaseCalls += 1;
    return this.#countFailure(this.store.renewLease(leaseId));
  }

  commit(transaction: StoreTransaction): Promise<TransactionResult> {
    this.counters.writes += 1;
    return this.#countFailure(this.store.commit(transaction));
  }

  async #countFailure<Result>(call: Promise<Result>): Promise<Result> {
    try {
      return await call;
    } catch (error) {
      this.counters.failures += 1;
      throw error;
    }
  }
}
