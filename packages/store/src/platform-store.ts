/** Value of a key with the revision that wrote it. */
export interface StoreEntry {
  readonly value: string;
  /** Number above 0 that increases with every write to the store. */
  readonly revision: number;
}

/** Result of a compare-and-swap that was answered. */
export type SwapResult =
  | { readonly kind: 'written'; readonly revision: number }
  | {
      readonly kind: 'conflict';
      /** Entry found instead of the expected one; undefined if the key is absent. */
      readonly current: StoreEntry | undefined;
    };

/** Result of a compare-and-delete that was answered. */
export type DeleteResult =
  | { readonly kind: 'deleted' }
  | { readonly kind: 'conflict'; readonly current: StoreEntry | undefined };

/** Revision that stands for "the key is absent" in a compare-and-swap. */
export const absentRevision = 0;

/** Maximum size of a value in the platform's store. */
export const valueMaxBytes = 1024 * 1024;

/**
 * The platform's key-value store. Each method makes one request and never repeats it, so that only the
 * caller decides how to handle a lost answer. A failed read throws `StoreNotWrittenError`; a failed
 * write throws that or `StoreOutcomeUnknownError`.
 */
export interface PlatformStore {
  get(key: string): Promise<StoreEntry | undefined>;
  /** Writes only if the key still has the expected revision (`absentRevision`: does not exist). */
  compareAndSwap(key: string, expectedRevision: number, value: string): Promise<SwapResult>;
  /** Deletes only if the key still has the expected revision. */
  compareAndDelete(key: string, expectedRevision: number): Promise<DeleteResult>;
  /** Part of the platform's interface; no decision of this project depends on a lease. */
  grantLease(durationMs: number): Promise<{ readonly leaseId: string }>;
  keepLease(leaseId: string): Promise<{ readonly isHeld: boolean }>;
  /**
   * Waits up to `waitMs` for a newer revision of the key; undefined if there is none. No decision of
   * this project depends on it either.
   */
  watch(key: string, afterRevision: number, waitMs: number): Promise<StoreEntry | undefined>;
}
