import { StoreError } from '@sequoiafield/errors';

/** Item of the store with the revision of its last write. */
export interface StoreItem {
  readonly key: string;
  readonly value: Uint8Array;
  readonly revision: number;
}

/** Removal of a key. */
export interface StoreRemoval {
  readonly key: string;
  readonly revision: number;
  readonly isRemoved: true;
}

/** One change of a range: an item as it was written, or a removal. */
export type StoreChange = StoreItem | StoreRemoval;

/** Items of a range; they may lack changes after `storeRevision`. */
export interface StoreRange {
  readonly items: readonly StoreItem[];
  readonly storeRevision: number;
}

/** Changes of a range, complete up to `storeRevision`. */
export interface StoreChanges {
  readonly changes: readonly StoreChange[];
  readonly storeRevision: number;
}

/** Condition of a write: the key has this revision, or is absent if it is `absentRevision`. */
export interface WriteCondition {
  readonly key: string;
  readonly revision: number;
}

/** Value that is written to a key. */
export interface StoreWrite {
  readonly key: string;
  readonly value: Uint8Array;
}

/** Options of a read. */
export interface ReadOptions {
  /** Allows an answer that is some seconds old, which costs the store less. False by default. */
  readonly mayBeStale?: boolean;
}

/** Result of a conditional write that was answered. */
export type WriteResult =
  | { readonly kind: 'written'; readonly revision: number }
  | { readonly kind: 'conflict'; readonly items: readonly StoreItem[] };

/** The store no longer has the changes after the revision that a watch asked for. */
export const HistoryCompactedError = StoreError.subclass('HistoryCompactedError');

/**
 * Reads, watches and writes ranges of the platform's store. Each method makes the calls of one operation
 * and repeats none. A failed read throws `StoreNotWrittenError`; a failed write throws that or
 * `StoreOutcomeUnknownError`.
 */
export interface RangeStore {
  /** Reads a range; each page is linearizable unless `mayBeStale` is set. */
  readRange(prefix: string, options?: ReadOptions): Promise<StoreRange>;
  /**
   * Waits up to `waitMs` for changes after a revision; resolves without changes after that. Rejects with
   * `HistoryCompactedError` if the store no longer has the changes or was restored from a copy since.
   */
  watchRange(prefix: string, afterRevision: number, waitMs: number): Promise<StoreChanges>;
  /**
   * Writes all values if every condition holds, otherwise none. A condition with a revision of a former
   * era of the store is a conflict, which then has no items.
   */
  writeIf(
    conditions: readonly WriteCondition[],
    writes: readonly StoreWrite[],
  ): Promise<WriteResult>;
}

/** Whether a change removes its key. */
export const isRemoval = (change: StoreChange): change is StoreRemoval => 'isRemoved' in change;
