/** Value of a key with the revision that wrote it. */
export interface StoreEntry {
  readonly value: string;
  /** Number above 0 that rises with every write to the store. */
  readonly revision: number;
}

/** Result of a compare-and-swap that was answered. */
export type SwapResult =
  | { readonly kind: 'written'; readonly revision: number }
  | {
      readonly kind: 'conflict';
      /** Entry that is there instead of the expected one; undefined if the key is absent. */
      readonly current: StoreEntry | undefined;
    };

/** Result of a compare-and-delete that was answered. */
export type DeleteResult =
  | { readonly kind: 'deleted' }
  | { readonly kind: 'conflict'; readonly current: StoreEntry | undefined };

/** Revision that stands for "the key is absent" in a compare-and-swap. */
export const absentRevision = 0;

/** Largest value of the platform's store. */
export const valueMaxBytes = 1024 * 1024;

/**
 * The platform's key-value store. Each method makes one request and never repeats it, so that the
 * caller alone decides what a lost answer means. A failed read throws `StoreNotWrittenError`; a
 * failed write throws that or `StoreOutcomeUnknownError`.
 */
export interface PlatformStore {
  get(key: string): Promise<StoreEntry | undefined>;
  /** Writes only if the key still has the expected revision (`absentRevision`: does not exist). */
  compareAndSwap(key: string, expectedRevision: number, value: string): Promise<SwapResult>;
  /** Deletes only if the key still has the expected revision. */
  compareAndDelete(key: string, expectedRevision: number): Promise<DeleteResult>;
  /** Offered by the platform; no decision of this project rests on a lease. */
  grantLease(durationMs: number): Promise<{ readonly leaseId: string }>;
  keepLease(leaseId: string): Promise<{ readonly isHeld: boolean }>;
  /** Waits until the key has a newer revision; undefined after `waitMs`. Decides nothing either. */
  watch(key: string, afterRevision: number, waitMs: number): Promise<StoreEntry | undefined>;
}
