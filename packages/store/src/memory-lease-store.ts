import { wallNowUnixMs } from '@sequoiafield/tables';
import { StoreNotWrittenError, StoreOutcomeUnknownError } from './errors.js';
import type { LeaseStore, StoreLease, StoreTransaction, TransactionResult } from './lease-store.js';
import { StoreFault } from './memory-store.js';
import {
  HistoryCompactedError,
  type StoreChange,
  type StoreChanges,
  type StoreItem,
  type StoreRange,
  type StoreWrite,
  type WriteCondition,
  type WriteResult,
} from './range-store.js';
import { eraOf, revisionInEra } from './store-era.js';

/** One call to a `MemoryLeaseStore`, as passed to its `decideFault`. */
export interface LeaseStoreCall {
  readonly operation: 'read' | 'watch' | 'grant' | 'renew' | 'commit';
  /** Keys that a commit writes; empty for other calls. */
  readonly keys: readonly string[];
}

interface LeasedItem extends StoreItem {
  readonly leaseId: number;
}

interface Lease {
  readonly ttlMs: number;
  expiresAtMs: number;
}

const watchPollMs = 20;
/** Delay of a write that takes effect after its caller gave up on the answer. */
const lateWriteMs = 500;
const noLease = 0;

const pause = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

/**
 * In-memory store with leases, faults and restoring from an older copy; for tests. Leases run by the wall
 * clock, so that a test can stop the monotonic clock of a node.
 *
 * @example
 * const store = new MemoryLeaseStore();
 * store.decideFault = ({ operation }) => operation === 'renew' ? StoreFault.NotWritten : undefined;
 */
export class MemoryLeaseStore implements LeaseStore {
  decideFault: (call: LeaseStoreCall) => StoreFault | undefined = () => undefined;

  /** Delay of each answer; a call takes effect after half of it. */
  answerDelayMs = 0;

  readonly calls = { read: 0, watch: 0, grant: 0, renew: 0, commit: 0 };

  #items = new Map<string, LeasedItem>();

  #leases = new Map<number, Lease>();

  #changes: StoreChange[] = [];

  #revision = 1;

  #lastLeaseId = 0;

  readRange(prefix: string): Promise<StoreRange> {
    return this.#run({ operation: 'read', keys: [] }, () => ({
      items: this.#itemsBelow(prefix),
      storeRevision: this.#revision,
    }));
  }

  async watchRange(prefix: string, afterRevision: number, waitMs: number): Promise<StoreChanges> {
    const untilMs = wallNowUnixMs() + waitMs;
    for (;;) {
      this.#expire();
      if (eraOf(afterRevision) !== eraOf(this.#revision))
        throw new HistoryCompactedError('The revision belongs to a former era');
      const changes = this.#changes.filter(
        ({ key, revision }) => key.startsWith(prefix) && revision > afterRevision,
      );
      if (changes.length > 0 || wallNowUnixMs() >= untilMs) {
        const storeRevision = this.#revision;
        return this.#run({ operation: 'watch', keys: [] }, () => ({ changes, storeRevision }));
      }
      await pause(watchPollMs);
    }
  }

  async writeIf(
    conditions: readonly WriteCondition[],
    writes: readonly StoreWrite[],
  ): Promise<WriteResult> {
    return (await this.commit({ conditions, writes })) as WriteResult;
  }

  grantLease(ttlMs: number): Promise<StoreLease> {
    return this.#run({ operation: 'grant', keys: [] }, () => {
      this.#lastLeaseId += 1;
      this.#leases.set(this.#lastLeaseId, { ttlMs, expiresAtMs: wallNowUnixMs() + ttlMs });
      return { leaseId: this.#lastLeaseId, ttlMs };
    });
  }

  renewLease(leaseId: number): Promise<StoreLease | undefined> {
    return this.#run({ operation: 'renew', keys: [] }, () => {
      const lease = this.#leases.get(leaseId);
      if (!lease) return undefined;
      lease.expiresAtMs = wallNowUnixMs() + lease.ttlMs;
      return { leaseId, ttlMs: lease.ttlMs };
    });
  }

  commit(transaction: StoreTransaction): Promise<TransactionResult> {
    const keys = (transaction.writes ?? []).map(({ key }) => key);
    return this.#run({ operation: 'commit', keys }, () => this.#apply(transaction));
  }

  /** Returns an item without a call to the store; undefined if there is none. */
  peek(key: string): StoreItem | undefined {
    this.#expire();
    return this.#items.get(key);
  }

  /** Copies the items, and the leases unless they are lost; returns what restores the copy. */
  copy({ withLeases = false } = {}): () => void {
    const items = new Map(this.#items);
    const leases = new Map(this.#leases);
    return () => {
      this.#leases = withLeases ? leases : new Map();
      this.#revision = revisionInEra(eraOf(this.#revision) + 1, 1);
      this.#changes = [];
      this.#items = new Map();
      for (const item of items.values()) this.#put(item, item.leaseId);
    };
  }

  async #run<Result>(call: LeaseStoreCall, execute: () => Result): Promise<Result> {
    this.calls[call.operation] += 1;
    const fault = this.decideFault(call);
    await this.#delayHalf();
    this.#expire();
    const isWrite = call.operation !== 'read' && call.operation !== 'watch';
    if (fault === StoreFault.NotWritten || (fault && !isWrite))
      throw new StoreNotWrittenError(`${call.operation}: ${fault}`);
    if (!fault) {
      const result = execute();
      await this.#delayHalf();
      return result;
    }
    if (fault === StoreFault.AnswerLost) execute();
    if (fault === StoreFault.WrittenLate) {
      setTimeout(() => {
        this.#expire();
        execute();
      }, lateWriteMs);
    }
    throw new StoreOutcomeUnknownError(`${call.operation}: ${fault}`);
  }

  async #delayHalf(): Promise<void> {
    if (this.answerDelayMs > 0) await pause(this.answerDelayMs / 2);
  }

  #apply({ conditions, writes = [], deletedKeys = [] }: StoreTransaction): TransactionResult {
    const isMet = ({ key, revision }: WriteCondition): boolean =>
      (this.#items.get(key)?.revision ?? 0) === revision;
    if (!conditions.every(isMet)) {
      return { kind: 'conflict', items: conditions.flatMap(({ key }) => this.peek(key) ?? []) };
    }
    const leaseIds = writes.map(({ leaseId = noLease }) => leaseId);
    if (leaseIds.some((leaseId) => leaseId !== noLease && !this.#leases.has(leaseId)))
      return { kind: 'lease-ended' };
    for (const { leaseId = noLease, ...write } of writes) this.#put(write, leaseId);
    deletedKeys.forEach((key) => this.#remove(key));
    return { kind: 'written', revision: this.#revision };
  }

  #put({ key, value }: StoreWrite, leaseId: number): void {
    this.#revision += 1;
    const item = { key, value, revision: this.#revision, leaseId };
    this.#items.set(key, item);
    this.#changes.push(item);
  }

  #remove(key: string): void {
    if (!this.#items.delete(key)) return;
    this.#revision += 1;
    this.#changes.push({ key, revision: this.#revision, isRemoved: true });
  }

  #expire(): void {
    for (const [leaseId, { expiresAtMs }] of this.#leases) {
      if (expiresAtMs <= wallNowUnixMs()) this.#leases.delete(leaseId);
    }
    for (const { key, leaseId } of [...this.#items.values()]) {
      if (leaseId !== noLease && !this.#leases.has(leaseId)) this.#remove(key);
    }
  }

  #itemsBelow(prefix: string): StoreItem[] {
    return [...this.#items.values()].filter(({ key }) => key.startsWith(prefix));
  }
}
