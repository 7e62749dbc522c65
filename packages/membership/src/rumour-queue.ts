interface Rumour {
  readonly key: string;
  readonly bytes: Uint8Array;
  /** Sends after which it is removed; the limit of `take` holds if it is lower. */
  readonly sendsMax: number;
  isCurrent: boolean;
}

/** Number of items that do not fit after which `take` stops looking for a smaller one. */
const skippedItemsMax = 8;
/** Encoding overhead of one item in a datagram. */
export const itemOverheadBytes = 3;

/**
 * Queue of items to piggyback on datagrams, ordered by fewest sends and then newest first.
 *
 * @example
 * queue.put('member:a', encodeStateRumour(rumour));
 * const items = queue.take(600, 12);
 */
export class RumourQueue {
  /** Rumours by the number of times they were sent; the newest is last. */
  readonly #bySends: Rumour[][] = [];

  readonly #current = new Map<string, Rumour>();

  get size(): number {
    return this.#current.size;
  }

  /** Queues an item and replaces the one that is queued under the same key. */
  put(key: string, bytes: Uint8Array, sendsMax = Number.POSITIVE_INFINITY): void {
    const replaced = this.#current.get(key);
    if (replaced) replaced.isCurrent = false;
    const rumour = { key, bytes, sendsMax, isCurrent: true };
    this.#current.set(key, rumour);
    (this.#bySends[0] ??= []).push(rumour);
  }

  /** Takes items of at most `budgetBytes` in total; each is removed after `sendLimit` sends. */
  take(budgetBytes: number, sendLimit: number): Uint8Array[] {
    const taken: { rumour: Rumour; sends: number }[] = [];
    let remainingBytes = budgetBytes;
    let skippedItems = 0;
    for (let sends = 0; sends < this.#bySends.length && skippedItems < skippedItemsMax; sends++) {
      const candidates = this.#bySends[sends] ?? [];
      const skipped: Rumour[] = [];
      while (candidates.length > 0 && skippedItems < skippedItemsMax) {
        const rumour = candidates.pop() as Rumour;
        const neededBytes = rumour.bytes.length + itemOverheadBytes;
        if (rumour.isCurrent && neededBytes <= remainingBytes) {
          remainingBytes -= neededBytes;
          taken.push({ rumour, sends: sends + 1 });
        } else if (rumour.isCurrent) {
          skippedItems += 1;
          skipped.push(rumour);
        }
      }
      while (skipped.length > 0) candidates.push(skipped.pop() as Rumour);
    }
    for (const { rumour, sends } of taken) this.#requeueOrRemove(rumour, sends, sendLimit);
    return taken.map(({ rumour }) => rumour.bytes);
  }

  #requeueOrRemove(rumour: Rumour, sends: number, sendLimit: number): void {
    if (sends < Math.min(sendLimit, rumour.sendsMax)) (this.#bySends[sends] ??= []).push(rumour);
    else this.#current.delete(rumour.key);
  }
}
