/** Value of a key and the revision that wrote it. */
export interface KeyValueEntry {
  readonly value: string;
  readonly revision: number;
}

type Watcher = (entry: KeyValueEntry) => void;

/** Keys, leases and pending watches in memory, with one revision counter for all keys. */
export class KeyValueTable {
  readonly #entries = new Map<string, KeyValueEntry>();

  readonly #watchers = new Map<string, Set<Watcher>>();

  readonly #leaseEndsAtMs = new Map<string, number>();

  #revision = 0;

  #leaseCount = 0;

  get(key: string): KeyValueEntry | undefined {
    return this.#entries.get(key);
  }

  /** Writes the key if it has the expected revision (0: absent); otherwise returns undefined. */
  compareAndSwap(key: string, expectedRevision: number, value: string): KeyValueEntry | undefined {
    if ((this.#entries.get(key)?.revision ?? 0) !== expectedRevision) return undefined;
    this.#revision += 1;
    const entry = { value, revision: this.#revision };
    this.#entries.set(key, entry);
    this.#watchers.get(key)?.forEach((watcher) => watcher(entry));
    return entry;
  }

  /** Deletes the key if it has the expected revision; returns whether it did. */
  compareAndDelete(key: string, expectedRevision: number): boolean {
    if (this.#entries.get(key)?.revision !== expectedRevision) return false;
    return this.#entries.delete(key);
  }

  /** Waits for a revision of the key after the given one; returns undefined after `waitMs`. */
  watch(key: string, afterRevision: number, waitMs: number): Promise<KeyValueEntry | undefined> {
    const current = this.#entries.get(key);
    if (current && current.revision > afterRevision) return Promise.resolve(current);
    const watchers = this.#watchers.get(key) ?? new Set();
    this.#watchers.set(key, watchers);
    return new Promise((resolve) => {
      const finish = (entry?: KeyValueEntry): void => {
        watchers.delete(finish);
        resolve(entry);
      };
      watchers.add(finish);
      setTimeout(finish, waitMs).unref();
    });
  }

  grantLease(durationMs: number, nowMs: number): string {
    this.#leaseCount += 1;
    const leaseId = `lease-${this.#leaseCount}`;
    this.#leaseEndsAtMs.set(leaseId, nowMs + durationMs);
    return leaseId;
  }

  /** Extends a lease that has not expired; returns whether it was still held. */
  renewLease(leaseId: string, durationMs: number, nowMs: number): boolean {
    const isHeld = (this.#leaseEndsAtMs.get(leaseId) ?? 0) > nowMs;
    if (isHeld) this.#leaseEndsAtMs.set(leaseId, nowMs + durationMs);
    else this.#leaseEndsAtMs.delete(leaseId);
    return isHeld;
  }
}
