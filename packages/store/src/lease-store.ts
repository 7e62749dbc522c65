import type { RangeStore, StoreWrite, WriteCondition, WriteResult } from './range-store.js';

/** Lease of the store; keys written under it are removed when it ends. */
export interface StoreLease {
  readonly leaseId: number;
  /** Time for which the lease runs, from the arrival of the call that granted or renewed it. */
  readonly ttlMs: number;
}

/** Write that may belong to a lease. */
export interface LeasedWrite extends StoreWrite {
  readonly leaseId?: number;
}

/** Changes that are made together or not at all. */
export interface StoreTransaction {
  readonly conditions: readonly WriteCondition[];
  readonly writes?: readonly LeasedWrite[];
  readonly deletedKeys?: readonly string[];
}

/** Result of a transaction; a lease that has ended makes none of its changes. */
export type TransactionResult = WriteResult | { readonly kind: 'lease-ended' };

/**
 * Store with leases. Each method makes one call and repeats none; a call without a usable answer
 * throws `StoreNotWrittenError` or `StoreOutcomeUnknownError`.
 */
export interface LeaseStore extends RangeStore {
  grantLease(ttlMs: number): Promise<StoreLease>;
  /** Renews a lease; resolves with undefined if it has ended. */
  renewLease(leaseId: number): Promise<StoreLease | undefined>;
  commit(transaction: StoreTransaction): Promise<TransactionResult>;
}
