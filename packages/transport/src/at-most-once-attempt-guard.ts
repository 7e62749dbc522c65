import type { AttemptId } from '@sequoiafield/types';
import { AttemptCheckResult, type AttemptGuard } from './attempt-guard.js';
import { deadlineMaxMs, attemptIdRetentionMarginMs } from './limits.js';

const sweepIntervalMs = 1000;

/** Monotonic time at which each sequence of one incarnation of a sender may be removed. */
type SequenceExpiries = Map<number, number>;

/**
 * Lets every attempt start at most once: an id is kept until its deadline plus a margin; a later
 * copy is refused because its deadline has passed. Ids are kept per incarnation of a sender, so
 * that a process whose clock is behind that of its former incarnation is accepted, and late copies
 * of the former incarnation's attempts are recognised as duplicates.
 *
 * @example
 * const guard = new AtMostOnceAttemptGuard(selfIncarnation);
 * if (guard.check(attempt, deadlineAtMs, monotonicNowMs()) !== AttemptCheckResult.Fresh) refuse();
 */
export class AtMostOnceAttemptGuard implements AttemptGuard {
  readonly #expiriesBySender = new Map<string, SequenceExpiries>();

  #nextSweepAtMs = 0;

  constructor(private readonly selfIncarnation: number) {}

  /** Number of attempt ids that are currently kept. */
  get idCount(): number {
    let size = 0;
    for (const expiries of this.#expiriesBySender.values()) size += expiries.size;
    return size;
  }

  check(attempt: AttemptId, deadlineAtMs: number, nowMs: number): AttemptCheckResult {
    if (attempt.receiverIncarnation !== this.selfIncarnation) {
      return AttemptCheckResult.WrongIncarnation;
    }
    const expiries = this.#getExpiries(attempt);
    if (expiries.has(attempt.sequence)) return AttemptCheckResult.Duplicate;
    if (deadlineAtMs <= nowMs) return AttemptCheckResult.DeadlinePassed;
    if (deadlineAtMs > nowMs + deadlineMaxMs) return AttemptCheckResult.DeadlineTooFar;
    expiries.set(attempt.sequence, deadlineAtMs + attemptIdRetentionMarginMs);
    return AttemptCheckResult.Fresh;
  }

  sweep(nowMs: number): void {
    if (nowMs < this.#nextSweepAtMs) return;
    this.#nextSweepAtMs = nowMs + sweepIntervalMs;
    for (const [sender, expiries] of this.#expiriesBySender) {
      for (const [sequence, expiresAtMs] of expiries)
        if (expiresAtMs <= nowMs) expiries.delete(sequence);
      if (expiries.size === 0) this.#expiriesBySender.delete(sender);
    }
  }

  #getExpiries({ senderId, senderIncarnation }: AttemptId): SequenceExpiries {
    const key = `${senderId}\n${senderIncarnation}`;
    const known = this.#expiriesBySender.get(key);
    if (known) return known;
    const expiries: SequenceExpiries = new Map();
    this.#expiriesBySender.set(key, expiries);
    return expiries;
  }
}
