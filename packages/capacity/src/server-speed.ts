/** Time after which a call's weight in the speed is 1 / e; a change shows within two seconds. */
const memoryMs = 700;
/** Weight, in calls, of the assumption that the speed is the usual one. */
const usualWeight = 1;

/**
 * Recent slowness of a server: the mean logarithm of the latencies over the usual ones. Without calls it
 * returns to the usual speed.
 */
export class ServerSpeed {
  #weight = 0;

  #sum = 0;

  #updatedAtMs = Number.NEGATIVE_INFINITY;

  /** Returns the logarithm of the slowness; 0 is the usual speed, 0.69 half of it. */
  logSlowness(nowMs: number): number {
    const keptShare = this.#keptShare(nowMs);
    return (this.#sum * keptShare) / (this.#weight * keptShare + usualWeight);
  }

  add(logRatio: number, nowMs: number): void {
    const keptShare = this.#keptShare(nowMs);
    this.#weight = this.#weight * keptShare + 1;
    this.#sum = this.#sum * keptShare + logRatio;
    this.#updatedAtMs = nowMs;
  }

  #keptShare(nowMs: number): number {
    return Math.exp((this.#updatedAtMs - nowMs) / memoryMs);
  }
}
