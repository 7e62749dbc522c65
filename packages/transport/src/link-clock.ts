/** Drift that two clocks may have against each other; crystals stay under 100 ppm each. */
const driftPerMs = 200e-6;
/** Rounding of timestamps; a larger contradiction means that a clock was stopped or stepped. */
const toleranceMs = 1;

/** Converts times of the peer's monotonic clock to this node's. */
export interface PeerClock {
  /** Adds an echo; all times in ms, `echoMs` and `nowMs` on this node's clock. */
  sample(echoMs: number, peerNowMs: number, nowMs: number): void;
  /** Checks a timestamp without an echo against the samples. */
  check(peerNowMs: number, nowMs: number): void;
  /** Conservative local time of a time on the peer's clock, or undefined before the first sample. */
  toLocalMs(peerMs: number): number | undefined;
}

/**
 * Lower bound of the difference between this node's monotonic clock and the peer's. A timestamp that
 * this node sent at `echoMs` reached the peer before the peer stamped `peerNowMs`, so the difference
 * is at least `echoMs - peerNowMs`. A deadline placed with a lower bound is never too late.
 *
 * @example
 * const clock = new LinkClock();
 * clock.sample(10, 1000, 12); // sent at 10, stamped 1000 by the peer, back at 12
 * clock.toLocalMs(1100); // 110
 */
export class LinkClock implements PeerClock {
  #lowMs: number | undefined;

  #lowAtMs = 0;

  sample(echoMs: number, peerNowMs: number, nowMs: number): void {
    this.check(peerNowMs, nowMs);
    const sampleMs = echoMs - peerNowMs;
    this.#lowMs = Math.max(sampleMs, this.#decayedMs(nowMs) ?? -Infinity);
    this.#lowAtMs = nowMs;
  }

  /** Forgets the bound if a frame seems to have come before it was sent. */
  check(peerNowMs: number, nowMs: number): void {
    const lowMs = this.#decayedMs(nowMs);
    if (lowMs !== undefined && nowMs - peerNowMs < lowMs - toleranceMs) this.#lowMs = undefined;
  }

  toLocalMs(peerMs: number): number | undefined {
    return this.#lowMs === undefined ? undefined : peerMs + this.#lowMs;
  }

  #decayedMs(nowMs: number): number | undefined {
    return this.#lowMs === undefined
      ? undefined
      : this.#lowMs - (nowMs - this.#lowAtMs) * driftPerMs;
  }
}
