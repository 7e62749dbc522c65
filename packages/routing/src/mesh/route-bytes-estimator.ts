/** Bytes that are assumed per call of a route before its first answer. */
const assumedBytes = 5000;
/** Weight of one call in the mean; about the last 20 calls determine it. */
const newCallWeight = 0.05;

/** Estimates the mean bytes of a call of each route, in both directions together. */
export class RouteBytesEstimator {
  readonly #meanBytes = new Map<string, number>();

  meanBytes(route: string): number {
    return this.#meanBytes.get(route) ?? assumedBytes;
  }

  record(route: string, bytes: number): void {
    const meanBytes = this.#meanBytes.get(route) ?? bytes;
    this.#meanBytes.set(route, meanBytes + (bytes - meanBytes) * newCallWeight);
  }

  /** Deletes routes that the configuration no longer contains. */
  retainOnly(routes: ReadonlySet<string>): void {
    for (const route of [...this.#meanBytes.keys()]) {
      if (!routes.has(route)) this.#meanBytes.delete(route);
    }
  }
}
