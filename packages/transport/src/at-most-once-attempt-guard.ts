import type { AttemptId } from '@sequoiafield/types';
import { AttemptCheckResult, type AttemptGuard } from './attempt-guard.js';
import { deadlineMaxMs, attemptIdRetentionMarginMs } from './limits.js';

const sweepIntervalMs = 1000;

/** When each sequence of one life of a sender may be forgotten. */
type SeenSequences = Map<number, number>;

/**
 * Lets every attempt start at most once: an id is kept until its deadline plus a margin, and after
 * that the deadline refuses it. Each life of a sender has its own ids, so that a process whose clock
 * is behind that of its former life is heard, and late copies of the former life's attempts are known.
 *
 * @example
 * const guard = new AtMostOnceAttemptGuard(selfIncarnation);
 * if (guard.check(attempt, deadlineAtMs, monotonicNowMs()) !== AttemptCheckResult.Fresh) refuse();
 */
export class AtMostOnceAttemptGuard implements AttemptGuard {
  readonly #senders = new Map<string, SeenSequences>();

  #nextSweepAtMs = 0;

  constructor(private readonly selfIncarnation: number) {}

  /** Number of ids kept now. */
  get size(): number {
    let size = 0;
    for (const sequences of this.#senders.values()) size += sequences.size;
    return size;
  }

  check(attempt: AttemptId, deadlineAtMs: number, nowMs: number): AttemptCheckResult {
    if (attempt.receiverIncarnation !== this.selfIncarnation) {
      return AttemptCheckResult.WrongIncarnation;
    }
    const sequences = this.#sequencesOf(attempt);
    if (sequences.has(attempt.sequence)) return AttemptCheckResult.Duplicate;
    if (deadlineAtMs <= nowMs) return AttemptCheckResult.DeadlinePassed;
    if (deadlineAtMs > nowMs + deadlineMaxMs) return AttemptCheckResult.DeadlineTooFar;
    sequences.set(attempt.sequence, deadlineAtMs + attemptIdRetentionMarginMs);
    return AttemptCheckResult.Fresh;
  }

  sweep(nowMs: number): void {
    if (nowMs < this.#nextSweepAtMs) return;
    this.#nextSweepAtMs = nowMs + sweepIntervalMs;
    for (const [sender, sequences] of this.#senders) {
      for (const [sequence, atMs] of sequences) if (atMs <= nowMs) sequences.delete(sequence);
      if (sequences.size === 0) this.#senders.delete(sender);
    }
  }

  #sequencesOf({ senderId, senderIncarnation }: AttemptId): SeenSequences {
    const key = `${senderId}\n${senderIncarnation}`;
    const known = this.#senders.get(key);
    if (known) return known;
    const sequences: SeenSequences = new Map();
    this.#senders.set(key, sequences);
    return sequences;
  }
}
