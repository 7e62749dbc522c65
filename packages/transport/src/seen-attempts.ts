import type { AttemptId } from '@sequoiafield/types';
import { AttemptVerdict, type AttemptGuard } from './attempt-guard.js';
import { deadlineMaxMs, seenMarginMs } from './limits.js';

const sweepIntervalMs = 1000;

interface SeenSender {
  incarnation: number;
  /** When each sequence may be forgotten. */
  readonly forgetAtMs: Map<number, number>;
}

/**
 * Lets every attempt start at most once: an id is kept until its deadline plus a margin, and after
 * that the deadline refuses it.
 *
 * @example
 * const guard = new SeenAttempts(selfIncarnation);
 * if (guard.check(attempt, deadlineAtMs, monotonicNowMs()) !== AttemptVerdict.Fresh) refuse();
 */
export class SeenAttempts implements AttemptGuard {
  readonly #senders = new Map<string, SeenSender>();

  #nextSweepAtMs = 0;

  constructor(private readonly selfIncarnation: number) {}

  /** Number of ids kept now. */
  get size(): number {
    let size = 0;
    for (const sender of this.#senders.values()) size += sender.forgetAtMs.size;
    return size;
  }

  check(attempt: AttemptId, deadlineAtMs: number, nowMs: number): AttemptVerdict {
    if (attempt.receiverIncarnation !== this.selfIncarnation) {
      return AttemptVerdict.WrongIncarnation;
    }
    const sender = this.#senderOf(attempt);
    if (attempt.senderIncarnation < sender.incarnation) return AttemptVerdict.WrongIncarnation;
    if (sender.forgetAtMs.has(attempt.sequence)) return AttemptVerdict.Duplicate;
    if (deadlineAtMs <= nowMs) return AttemptVerdict.DeadlinePassed;
    if (deadlineAtMs > nowMs + deadlineMaxMs) return AttemptVerdict.DeadlineTooFar;
    sender.forgetAtMs.set(attempt.sequence, deadlineAtMs + seenMarginMs);
    return AttemptVerdict.Fresh;
  }

  sweep(nowMs: number): void {
    if (nowMs < this.#nextSweepAtMs) return;
    this.#nextSweepAtMs = nowMs + sweepIntervalMs;
    for (const { forgetAtMs } of this.#senders.values()) {
      for (const [sequence, atMs] of forgetAtMs) if (atMs <= nowMs) forgetAtMs.delete(sequence);
    }
  }

  #senderOf(attempt: AttemptId): SeenSender {
    const known = this.#senders.get(attempt.senderId);
    if (known && attempt.senderIncarnation <= known.incarnation) return known;
    const sender = { incarnation: attempt.senderIncarnation, forgetAtMs: new Map() };
    this.#senders.set(attempt.senderId, sender);
    return sender;
  }
}
