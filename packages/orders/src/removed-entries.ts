/** Removals that are remembered; the copy that a store is restored from is some seconds old. */
const removalsMax = 256;

/** Removal of a key, known up to a revision. */
export type Removal = readonly [key: string, revision: number];

/**
 * Remembers which keys were removed last, so that an older copy of the store does not bring them back.
 *
 * @example
 * removed.add('evacuations/a', 20);
 * removed.revisionOf('evacuations/a'); // 20
 */
export class RemovedEntries {
  readonly #revisions = new Map<string, number>();

  revisionOf(key: string): number | undefined {
    return this.#revisions.get(key);
  }

  add(key: string, revision: number): void {
    const known = this.#revisions.get(key) ?? 0;
    this.#revisions.delete(key);
    this.#revisions.set(key, Math.max(known, revision));
    if (this.#revisions.size > removalsMax) {
      const [oldest] = this.#revisions.keys();
      this.#revisions.delete(oldest!);
    }
  }

  /** Forgets the removal of a key that was written again. */
  delete(key: string): void {
    this.#revisions.delete(key);
  }

  list(isWanted: (revision: number) => boolean): readonly Removal[] {
    return [...this.#revisions].filter(([, revision]) => isWanted(revision));
  }
}
