import { monotonicNowMs } from '@sequoiafield/tables';
import type { AttemptId } from '@sequoiafield/types';

/** Records attempts, so that a call whose frame arrives twice does not run twice. */
export interface AttemptDeduplicator {
  /** Records the attempt; returns false if it is a duplicate. */
  add(attempt: AttemptId, deadlineAtMs: number): boolean;
  /** Deletes attempts whose duplicates would be refused for their deadline anyway; runs each tick. */
  sweep(): void;
}

/** Attempts are kept this long after their deadline, for corrections of a link's clock offset. */
const retentionAfterDeadlineMs = 5000;
const bucketMs = 1000;

/**
 * Stores attempt ids in buckets by the second in which they expire. Refused attempts are stored as
 * well: their sender may have sent the request again under another id.
 *
 * @example
 * if (!deduplicator.add(open.attempt, deadlineAtMs)) refuseAsDuplicate();
 */
export class BucketedAttemptDeduplicator implements AttemptDeduplicator {
  readonly #keys = new Set<string>();

  readonly #keysByBucket = new Map<number, string[]>();

  add(attempt: AttemptId, deadlineAtMs: number): boolean {
    const key = `${attempt.senderId}/${attempt.senderIncarnation}/${attempt.sequence}`;
    if (this.#keys.has(key)) return false;
    this.#keys.add(key);
    const expiresAtMs = Math.max(deadlineAtMs, monotonicNowMs()) + retentionAfterDeadlineMs;
    const bucket = Math.ceil(expiresAtMs / bucketMs);
    const keys = this.#keysByBucket.get(bucket) ?? [];
    keys.push(key);
    this.#keysByBucket.set(bucket, keys);
    return true;
  }

  sweep(): void {
    const currentBucket = monotonicNowMs() / bucketMs;
    for (const [bucket, keys] of this.#keysByBucket) {
      if (bucket > currentBucket) continue;
      keys.forEach((key) => this.#keys.delete(key));
      this.#keysByBucket.delete(bucket);
    }
  }
}
