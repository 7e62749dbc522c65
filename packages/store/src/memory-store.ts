import { StoreNotWrittenError, StoreOutcomeUnknownError } from './errors.js';
import type { DeleteResult, PlatformStore, StoreEntry, SwapResult } from './platform-store.js';

/** Fault of one call of a `MemoryStore`. */
export enum StoreFault {
  /** The call is refused; nothing is written. */
  NotWritten = 'not written',
  /** The write takes effect and its answer is lost; a read fails. */
  AnswerLost = 'answer lost',
  /** The request is lost and nothing is written, which the caller cannot detect. */
  RequestLost = 'request lost',
  /** The answer is lost and the write takes effect only after later calls. */
  WrittenLate = 'written late',
}

/** One call, as passed to the function that decides on its fault. */
export interface StoreCall {
  readonly operation: 'get' | 'swap' | 'delete';
  readonly key: string;
  /** Number of the call, starting at 1. */
  readonly number: number;
}

/** HTTP methods of `HttpStore`, for error messages. */
const httpMethods = { swap: 'PUT', delete: 'DELETE' } as const;

/** Calls after which a late write takes effect; more than the reads that follow a lost answer. */
const lateWriteDelayCalls = 10;

interface LateWrite {
  readonly dueNumber: number;
  readonly write: () => void;
}

/**
 * In-memory store that injects a fault per call; for tests and benchmarks.
 *
 * @example
 * const store = new MemoryStore(({ number }) => number === 3 ? StoreFault.AnswerLost : undefined);
 */
export class MemoryStore implements PlatformStore {
  /** Calls so far, such as `get sequoiafield/head`. */
  readonly calls: string[] = [];

  /** Every value that each key ever had, in order. */
  readonly written = new Map<string, string[]>();

  readonly #entries = new Map<string, StoreEntry>();

  readonly #decideFault: (call: StoreCall) => StoreFault | undefined;

  #lateWrites: LateWrite[] = [];

  #revision = 0;

  constructor(decideFault: (call: StoreCall) => StoreFault | undefined = () => undefined) {
    this.#decideFault = decideFault;
  }

  async get(key: string): Promise<StoreEntry | undefined> {
    const fault = this.#recordCall('get', key);
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

  /** Returns the value of a key without recording a call. */
  peek(key: string): string | undefined {
    return this.#entries.get(key)?.value;
  }

  /** Applies every late write now. */
  finishLateWrites(): void {
    this.#lateWrites.forEach(({ write }) => write());
    this.#lateWrites = [];
  }

  #write<T>(operation: 'swap' | 'delete', key: string, write: () => T): T {
    const fault = this.#recordCall(operation, key);
    if (!fault) return write();
    if (fault === StoreFault.NotWritten)
      throw new StoreNotWrittenError(`${httpMethods[operation]} ${key}: ${fault}`);
    if (fault === StoreFault.AnswerLost) write();
    if (fault === StoreFault.WrittenLate) {
      this.#lateWrites.push({ dueNumber: this.calls.length + lateWriteDelayCalls, write });
    }
    throw new StoreOutcomeUnknownError(`${httpMethods[operation]} ${key}: ${fault}`);
  }

  #recordCall(operation: StoreCall['operation'], key: string): StoreFault | undefined {
    this.calls.push(`${operation} ${key}`);
    const number = this.calls.length;
    const dueWrites = this.#lateWrites.filter(({ dueNumber }) => dueNumber <= number);
    this.#lateWrites = this.#lateWrites.filter(({ dueNumber }) => dueNumber > number);
    dueWrites.forEach(({ write }) => write());
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
