/** Weight of one call in the averages: the last 20 calls or so decide. */
const updateRate = 0.05;

/** Averages of what the backend server did lately. */
export class ServiceTimes {
  #meanMs = 0;

  #failureRatio = 0;

  readonly #routeMeansMs = new Map<string, number>();

  get meanMs(): number {
    return this.#meanMs;
  }

  /** Share of calls that the server failed or shed, 0 to 1. */
  get failureRatio(): number {
    return this.#failureRatio;
  }

  /** Mean time of a route's calls, or of all calls before the first of the route. */
  routeMeanMs(route: string): number {
    return this.#routeMeansMs.get(route) ?? this.#meanMs;
  }

  record(route: string, latencyMs: number, hasFailed: boolean): void {
    this.#failureRatio += (Number(hasFailed) - this.#failureRatio) * updateRate;
    if (hasFailed) return;
    this.#meanMs = this.#blend(this.#meanMs, latencyMs);
    this.#routeMeansMs.set(route, this.#blend(this.#routeMeansMs.get(route) ?? 0, latencyMs));
  }

  #blend(meanMs: number, latencyMs: number): number {
    return meanMs === 0 ? latencyMs : meanMs + (latencyMs - meanMs) * updateRate;
  }
}
