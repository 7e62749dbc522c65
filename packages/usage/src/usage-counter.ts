import { wallNowUnixMs } from '@sequoiafield/tables';
import { keptWindowsCount, windowAt } from './usage-windows.js';

/** Running count of one account in one window. */
interface Entry {
  count: number;
  /** Version of the counter at the last change. */
  changedAtVersion: number;
}

/** Counts of one window that changed: index of the account in `accounts`, count, and so on in turn. */
export type WindowChanges = readonly [window: number, flatCounts: readonly number[]];

/**
 * Counts the requests that the backend server beside this node began to run, for each account and window.
 * A request counts in the window in which it was written, however long it runs.
 *
 * @example
 * const undo = counter.record('bozi300');
 * if (!hasRun) undo();
 */
export class UsageCounter {
  /** Accounts in the order in which they were first counted; an account keeps its index. */
  readonly accounts: string[] = [];

  readonly counters = { recorded: 0, undone: 0 };

  readonly #indexes = new Map<string, number>();

  readonly #windows = new Map<number, Map<number, Entry>>();

  #version = 0;

  constructor(private readonly windowMs: number) {}

  /** Number of changes so far. */
  get version(): number {
    return this.#version;
  }

  /**
   * Counts a request that is written now. Returns the function that takes it back, if the server says that
   * it did not run it.
   */
  record(account: string): () => void {
    const entry = this.#entryOf(windowAt(wallNowUnixMs(), this.windowMs), account);
    this.counters.recorded += 1;
    this.#change(entry, 1);
    return () => {
      this.counters.undone += 1;
      this.#change(entry, -1);
    };
  }

  /** Returns the running counts that changed after a version; all of them for version 0. */
  changesSince(version: number): readonly WindowChanges[] {
    const changes: WindowChanges[] = [];
    for (const [window, entries] of this.#windows) {
      const flatCounts: number[] = [];
      for (const [index, { count, changedAtVersion }] of entries) {
        if (changedAtVersion > version) flatCounts.push(index, count);
      }
      if (flatCounts.length > 0) changes.push([window, flatCounts]);
    }
    return changes;
  }

  #change(entry: Entry, difference: 1 | -1): void {
    const changed = entry;
    this.#version += 1;
    changed.count += difference;
    changed.changedAtVersion = this.#version;
  }

  #entryOf(window: number, account: string): Entry {
    const entries = this.#windows.get(window) ?? this.#addWindow(window);
    const index = this.#indexes.get(account) ?? this.#addAccount(account);
    const entry = entries.get(index) ?? { count: 0, changedAtVersion: 0 };
    entries.set(index, entry);
    return entry;
  }

  /** Adds a window and drops the one that was added first, whatever the wall clock says. */
  #addWindow(window: number): Map<number, Entry> {
    const entries = new Map<number, Entry>();
    this.#windows.set(window, entries);
    if (this.#windows.size > keptWindowsCount) {
      const [first] = this.#windows.keys();
      this.#windows.delete(first!);
    }
    return entries;
  }

  #addAccount(account: string): number {
    this.#indexes.set(account, this.accounts.length);
    this.accounts.push(account);
    return this.accounts.length - 1;
  }
}
