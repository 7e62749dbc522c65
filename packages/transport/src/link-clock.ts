/** Maximum drift between two clocks; the quartz oscillator of each stays under 100 ppm. */
const clockDriftMaxRatio = 200e-6;
/** Rounding error of timestamps; a larger error means that a clock was stopped or stepped. */
const timestampToleranceMs = 1;

/** Converts times of the peer's monotonic clock to times of this node's monotonic clock. */
export interface PeerClock {
  /** Adds the sample of an echo; all times in ms, `echoMs` and `nowMs` on this node's clock. */
  sample(echoMs: number, peerNowMs: number, nowMs: number): void;
  /** Checks a timestamp without an echo against the samples. */
  check(peerNowMs: number, nowMs: number): void;
  /**
   * Converts a time on the peer's clock to a local time that is never too late; undefined while
   * there is no valid sample.
   */
  toLocalMs(peerMs: number): number | undefined;
}

/**
 * Lower bound of the difference between this node's monotonic clock and the peer's. A timestamp
 * that this node sent at `echoMs` reached the peer before the peer stamped `peerNowMs`, so the
 * difference is at least `echoMs - peerNowMs`. A deadline converted with a lower bound is never too
 * late.
 *
 * @example
 * const clock = new LinkClock();
 * clock.sample(10, 1000, 12); // sent at 10, stamped 1000 by the peer, back at 12
 * clock.toLocalMs(1100); // 110
 */
export class LinkClock implements PeerClock {
  #lowerBoundMs: number | undefined;

  #boundUpdatedAtMs = 0;

  sample(echoMs: number, peerNowMs: number, nowMs: number): void {
    this.check(peerNowMs, nowMs);
    const sampleMs = echoMs - peerNowMs;
    this.#lowerBoundMs = Math.max(sampleMs, this.#driftAdjustedBoundMs(nowMs) ?? -Infinity);
    this.#boundUpdatedAtMs = nowMs;
  }

  /** Discards the bound if a frame appears to have arrived before it was sent. */
  check(peerNowMs: number, nowMs: number): void {
    const lowerBoundMs = this.#driftAdjustedBoundMs(nowMs);
    if (lowerBoundMs !== undefined && nowMs - peerNowMs < lowerBoundMs - timestampToleranceMs)
      this.#lowerBoundMs = undefined;
  }

  toLocalMs(peerMs: number): number | undefined {
    return this.#lowerBoundMs === undefined ? undefined : peerMs + this.#lowerBoundMs;
  }

  #driftAdjustedBoundMs(nowMs: number): number | undefined {
    return this.#lowerBoundMs === undefined
      ? undefined
      : this.#lowerBoundMs - (nowMs - this.#boundUpdatedAtMs) * clockDriftMaxRatio;
  }
}
