import { itemOverheadBytes } from './rumour-queue.js';
import { datagramMaxBytes } from './wire.js';

/** A push that waits longer for the byte budget is dropped; it also spreads as a rumour. */
const pushExpiryMs = 3000;
/** Bytes of a datagram that its items do not use. */
const headerBytes = 160;

interface PendingPush {
  readonly key: string;
  readonly bytes: Uint8Array;
  readonly queuedAtMs: number;
}

/** Items that wait to be pushed to peers, at most one for each key. */
export class PushQueue {
  #pushes: PendingPush[] = [];

  get isEmpty(): boolean {
    return this.#pushes.length === 0;
  }

  /** Queues an item and replaces the one that is queued under the same key. */
  put(key: string, bytes: Uint8Array, nowMs: number): void {
    this.#pushes = this.#pushes.filter((pending) => pending.key !== key);
    this.#pushes.push({ key, bytes, queuedAtMs: nowMs });
  }

  /** Drops items that have waited too long. */
  expire(nowMs: number): void {
    this.#pushes = this.#pushes.filter(({ queuedAtMs }) => queuedAtMs > nowMs - pushExpiryMs);
  }

  clear(): void {
    this.#pushes = [];
  }

  /** Takes the newest items that fit into one datagram; the rest stay queued. */
  takeBatch(): Uint8Array[] {
    const batch: Uint8Array[] = [];
    let usedBytes = headerBytes;
    for (let next = this.#pushes.at(-1); next; next = this.#pushes.at(-1)) {
      usedBytes += next.bytes.length + itemOverheadBytes;
      if (usedBytes > datagramMaxBytes && batch.length > 0) break;
      this.#pushes.pop();
      batch.push(next.bytes);
    }
    return batch;
  }
}
