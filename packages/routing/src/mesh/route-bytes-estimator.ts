/** Bytes that are assumed of a route's calls before the first answer. */
const unknownBytes = 5000;
/** Weight of one call in the mean: the last 20 calls or so decide. */
const updateRate = 0.05;

/** Mean bytes that a call of each route carries there and back. */
export class RouteBytesEstimator {
  readonly #meanBytes = new Map<string, number>();

  meanBytes(route: string): number {
    return this.#meanBytes.get(route) ?? unknownBytes;
  }

  record(route: string, bytes: number): void {
    const meanBytes = this.#meanBytes.get(route) ?? bytes;
    this.#meanBytes.set(route, meanBytes + (bytes - meanBytes) * updateRate);
  }

  /** Forgets routes that the configuration no longer names. */
  retainOnly(routes: ReadonlySet<string>): void {
    for (const route of [...this.#meanBytes.keys()]) {
      if (!routes.has(route)) this.#meanBytes.delete(route);
    }
  }
}
