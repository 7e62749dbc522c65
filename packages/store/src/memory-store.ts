import { StoreNotWrittenError, StoreOutcomeUnknownError } from './errors.js';
import type { DeleteResult, PlatformStore, StoreEntry, SwapResult } from './platform-store.js';

/** What goes wrong with one call of a `MemoryStore`. */
export enum StoreFault {
  /** Refused; nothing is written. */
  NotWritten = 'not written',
  /** Written, and the answer is lost; a read fails. */
  AnswerLost = 'answer lost',
  /** Lost on the way; nothing is written, but the caller cannot know. */
  RequestLost = 'request lost',
  /** The answer is lost and the write takes effect only after later calls. */
  WrittenLate = 'written late',
}

/** One call as the fault decision sees it. */
export interface StoreCall {
  readonly operation: 'get' | 'swap' | 'delete';
  readonly key: string;
  /** Number of the call, from 1. */
  readonly number: number;
}

/** Methods of `HttpStore`, for messages. */
const methods = { swap: 'PUT', delete: 'DELETE' } as const;

/** Later calls that a late write waits for; more than the reads that settle a lost answer. */
const lateCalls = 10;

interface LateWrite {
  readonly dueNumber: number;
  readonly write: () => void;
}

/**
 * Store in the memory of the process with faults by call; for tests and benchmarks.
 *
 * @example
 * const store = new MemoryStore(({ number }) => number === 3 ? StoreFault.AnswerLost : undefined);
 */
export class MemoryStore implements PlatformStore {
  /** Calls so far, such as `get sequoiafield/head`. */
  readonly calls: string[] = [];

  /** Every value that a key ever had, in order. */
  readonly written = new Map<string, string[]>();

  readonly #entries = new Map<string, StoreEntry>();

  readonly #decideFault: (call: StoreCall) => StoreFault | undefined;

  #lateWrites: LateWrite[] = [];

  #revision = 0;

  constructor(decideFault: (call: StoreCall) => StoreFault | undefined = () => undefined) {
    this.#decideFault = decideFault;
  }

  async get(key: string): Promise<StoreEntry | undefined> {
    const fault = this.#begin('get', key);
    if (fault) throw new StoreNotWrittenError(`GET ${key}: ${fault}`);
    return this.#entries.get(key);
  }

  async compareAndSwap(key: string, expectedRevision: number, value: string): Promise<SwapResult> {
    return this.#write('swap', key, () => this.#swap(key, expectedRevision, value));
  }

  async compareAndDelete(key: string, expectedRevision: number): Promise<DeleteResult> {
    return this.#write('delete', key, (): DeleteResult => {
      const current = this.#entries.get(key);
      if (current?.revision !== expectedRevision) return { kind: 'conflict', current };
      this.#entries.delete(key);
      return { kind: 'deleted' };
    });
  }

  async grantLease(): Promise<{ leaseId: string }> {
    return { leaseId: 'lease-1' };
  }

  async keepLease(): Promise<{ isHeld: boolean }> {
    return { isHeld: true };
  }

  async watch(key: string, afterRevision: number): Promise<StoreEntry | undefined> {
    const entry = this.#entries.get(key);
    return entry && entry.revision > afterRevision ? entry : undefined;
  }

  /** Value of a key without a counted call. */
  peek(key: string): string | undefined {
    return this.#entries.get(key)?.value;
  }

  /** Lets every late write take effect now. */
  finishLateWrites(): void {
    this.#lateWrites.forEach(({ write }) => write());
    this.#lateWrites = [];
  }

  #write<T>(operation: 'swap' | 'delete', key: string, write: () => T): T {
    const fault = this.#begin(operation, key);
    if (!fault) return write();
    if (fault === StoreFault.NotWritten)
      throw new StoreNotWrittenError(`${methods[operation]} ${key}: ${fault}`);
    if (fault === StoreFault.AnswerLost) write();
    if (fault === StoreFault.WrittenLate) {
      this.#lateWrites.push({ dueNumber: this.calls.length + lateCalls, write });
    }
    throw new StoreOutcomeUnknownError(`${methods[operation]} ${key}: ${fault}`);
  }

  #begin(operation: StoreCall['operation'], key: string): StoreFault | undefined {
    this.calls.push(`${operation} ${key}`);
    const number = this.calls.length;
    const due = this.#lateWrites.filter(({ dueNumber }) => dueNumber <= number);
    this.#lateWrites = this.#lateWrites.filter(({ dueNumber }) => dueNumber > number);
    due.forEach(({ write }) => write());
    return this.#decideFault({ operation, key, number });
  }

  #swap(key: string, expectedRevision: number, value: string): SwapResult {
    const current = this.#entries.get(key);
    if ((current?.revision ?? 0) !== expectedRevision) return { kind: 'conflict', current };
    this.#revision += 1;
    this.#entries.set(key, { value, revision: this.#revision });
    this.written.set(key, [...(this.written.get(key) ?? []), value]);
    return { kind: 'written', revision: this.#revision };
  }
}
