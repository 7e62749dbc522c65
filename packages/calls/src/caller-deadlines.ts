import { monotonicNowMs } from '@sequoiafield/tables';

/** Time for which a deadline counts; within it each kind of caller usually sends a first attempt. */
const windowMs = 10_000;

interface RouteDeadlines {
  windowEndsAtMs: number;
  longestMs: number;
  formerLongestMs: number;
}

/**
 * Longest time that callers of a route have recently been ready to wait. A caller that comes back after a
 * refusal has less of it left, which shows how long it has waited already.
 *
 * @example
 * deadlines.record('lookup', 2500);
 * deadlines.waitedMs('lookup', 2100); // 400
 */
export class CallerDeadlines {
  readonly #routes = new Map<string, RouteDeadlines>();

  record(route: string, deadlineMs: number): void {
    const nowMs = monotonicNowMs();
    const known = this.#routes.get(route);
    if (!known || nowMs >= known.windowEndsAtMs + windowMs) {
      this.#prune(nowMs);
      const windowEndsAtMs = nowMs + windowMs;
      this.#routes.set(route, { windowEndsAtMs, longestMs: deadlineMs, formerLongestMs: 0 });
      return;
    }
    if (nowMs >= known.windowEndsAtMs) {
      known.windowEndsAtMs += windowMs;
      known.formerLongestMs = known.longestMs;
      known.longestMs = 0;
    }
    known.longestMs = Math.max(known.longestMs, deadlineMs);
  }

  /** Time that a caller with this time left has probably waited since its first attempt. */
  waitedMs(route: string, deadlineMs: number): number {
    const known = this.#routes.get(route);
    if (!known) return 0;
    return Math.max(0, Math.max(known.longestMs, known.formerLongestMs) - deadlineMs);
  }

  /** Forgets routes without calls, such as those that are no longer configured. */
  #prune(nowMs: number): void {
    for (const [route, { windowEndsAtMs }] of this.#routes) {
      if (nowMs >= windowEndsAtMs + windowMs) this.#routes.delete(route);
    }
  }
}
