/**
 * Counts events in a sliding window; unlike a token bucket it bounds every span of that length.
 *
 * @example
 * const window = new RateWindow(1000);
 * if (window.count(nowMs) < 31) window.add(nowMs);
 */
export class RateWindow {
  #atMs: number[] = [];

  constructor(private readonly spanMs: number) {}

  add(nowMs: number): void {
    this.#atMs.push(nowMs);
  }

  count(nowMs: number): number {
    this.#expire(nowMs);
    return this.#atMs.length;
  }

  /** Time until the number of events falls below `limit`; 0 if it is below already. */
  waitMs(nowMs: number, limit: number): number {
    this.#expire(nowMs);
    const oldest = this.#atMs[this.#atMs.length - limit];
    return oldest === undefined ? 0 : oldest + this.spanMs - nowMs;
  }

  #expire(nowMs: number): void {
    const fromMs = nowMs - this.spanMs;
    let expired = 0;
    while (expired < this.#atMs.length && (this.#atMs[expired] ?? 0) <= fromMs) expired += 1;
    if (expired > 0) this.#atMs = this.#atMs.slice(expired);
  }
}
