import { monotonicNowMs } from '@sequoiafield/tables';
import type { AttemptId } from '@sequoiafield/types';

/** Remembers attempts, so that a frame that arrives twice does not run twice. */
export interface AttemptDeduplicator {
  /** Notes the attempt; false if it was seen before. */
  add(attempt: AttemptId, deadlineAtMs: number): boolean;
  /** Forgets attempts that their deadline refuses anyhow; run each tick. */
  sweep(): void;
}

/** Kept beyond the deadline, for corrections of the clock offset of a link. */
const keepAfterDeadlineMs = 5000;
const bucketMs = 1000;

/**
 * Attempt ids in buckets by the second until which they matter. Refused attempts are kept as well:
 * their sender may have sent the request again under another id.
 *
 * @example
 * if (!seen.add(open.attempt, deadlineAtMs)) refuseAsDuplicate();
 */
export class BucketedAttemptDeduplicator implements AttemptDeduplicator {
  readonly #keys = new Set<string>();

  readonly #keysByBucket = new Map<number, string[]>();

  add(attempt: AttemptId, deadlineAtMs: number): boolean {
    const key = `${attempt.senderId}/${attempt.senderIncarnation}/${attempt.sequence}`;
    if (this.#keys.has(key)) return false;
    this.#keys.add(key);
    const keepUntilMs = Math.max(deadlineAtMs, monotonicNowMs()) + keepAfterDeadlineMs;
    const bucket = Math.ceil(keepUntilMs / bucketMs);
    const keys = this.#keysByBucket.get(bucket) ?? [];
    keys.push(key);
    this.#keysByBucket.set(bucket, keys);
    return true;
  }

  sweep(): void {
    const current = monotonicNowMs() / bucketMs;
    for (const [bucket, keys] of this.#keysByBucket) {
      if (bucket > current) continue;
      keys.forEach((key) => this.#keys.delete(key));
      this.#keysByBucket.delete(bucket);
    }
  }
}
