interface Rumour {
  readonly key: string;
  readonly bytes: Uint8Array;
  isCurrent: boolean;
}

/** Items that do not fit before the search for a smaller one ends. */
const maxMisfits = 8;
/** Overhead of one item in the datagram. */
export const itemOverheadBytes = 3;

/**
 * Items waiting to be piggybacked, fewest times sent first, then newest.
 *
 * @example
 * queue.put('member:a', encodeStateRumour(rumour));
 * const items = queue.take(600, 12);
 */
export class RumourQueue {
  /** Rumours by the number of times they were sent; the newest last. */
  readonly #bySends: Rumour[][] = [];

  readonly #current = new Map<string, Rumour>();

  get size(): number {
    return this.#current.size;
  }

  /** Queues an item; it replaces the one that was queued under the same key. */
  put(key: string, bytes: Uint8Array): void {
    const replaced = this.#current.get(key);
    if (replaced) replaced.isCurrent = false;
    const rumour = { key, bytes, isCurrent: true };
    this.#current.set(key, rumour);
    (this.#bySends[0] ??= []).push(rumour);
  }

  /** Takes items of at most `budgetBytes`; each is forgotten after `sendLimit` sends. */
  take(budgetBytes: number, sendLimit: number): Uint8Array[] {
    const taken: { rumour: Rumour; sends: number }[] = [];
    let leftBytes = budgetBytes;
    let misfits = 0;
    for (let sends = 0; sends < this.#bySends.length && misfits < maxMisfits; sends++) {
      const level = this.#bySends[sends] ?? [];
      const kept: Rumour[] = [];
      while (level.length > 0 && misfits < maxMisfits) {
        const rumour = level.pop() as Rumour;
        const needBytes = rumour.bytes.length + itemOverheadBytes;
        if (rumour.isCurrent && needBytes <= leftBytes) {
          leftBytes -= needBytes;
          taken.push({ rumour, sends: sends + 1 });
        } else if (rumour.isCurrent) {
          misfits += 1;
          kept.push(rumour);
        }
      }
      while (kept.length > 0) level.push(kept.pop() as Rumour);
    }
    for (const { rumour, sends } of taken) this.#keepOrForget(rumour, sends, sendLimit);
    return taken.map(({ rumour }) => rumour.bytes);
  }

  #keepOrForget(rumour: Rumour, sends: number, sendLimit: number): void {
    if (sends < sendLimit) (this.#bySends[sends] ??= []).push(rumour);
    else this.#current.delete(rumour.key);
  }
}
