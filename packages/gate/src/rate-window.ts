/**
 * Counts events in a sliding window; unlike a token bucket it bounds every span of that length.
 *
 * @example
 * const window = new RateWindow(1000);
 * if (window.count(nowMs) < 31) window.add(nowMs);
 */
export class RateWindow {
  #eventTimesMs: number[] = [];

  constructor(private readonly spanMs: number) {}

  add(nowMs: number): void {
    this.#eventTimesMs.push(nowMs);
  }

  count(nowMs: number): number {
    this.#expire(nowMs);
    return this.#eventTimesMs.length;
  }

  /** Time until the number of events falls below `limit`; 0 if it is below already. */
  waitMs(nowMs: number, limit: number): number {
    this.#expire(nowMs);
    const oldest = this.#eventTimesMs[this.#eventTimesMs.length - limit];
    return oldest === undefined ? 0 : oldest + this.spanMs - nowMs;
  }

  #expire(nowMs: number): void {
    const fromMs = nowMs - this.spanMs;
    let expired = 0;
    while (expired < this.#eventTimesMs.length && (this.#eventTimesMs[expired] ?? 0) <= fromMs)
      expired += 1;
    if (expired > 0) this.#eventTimesMs = this.#eventTimesMs.slice(expired);
  }
}
