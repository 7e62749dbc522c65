/** Weight of one call in the averages: the last 20 calls or so decide. */
const updateRate = 0.05;
/** Share of calls whose service time the usual time covers. */
const usualQuantile = 0.75;
/** Step of the quantile estimate, as a part of its value. */
const quantileStep = 0.05;

/** Estimate of a quantile that moves a step with each value (stochastic approximation). */
class QuantileEstimate {
  #value = 0;

  get value(): number {
    return this.#value;
  }

  add(value: number): void {
    if (this.#value === 0) {
      this.#value = value;
      return;
    }
    const direction = value > this.#value ? usualQuantile : usualQuantile - 1;
    this.#value *= 1 + quantileStep * direction;
  }
}

interface RouteTimes {
  meanMs: number;
  readonly usual: QuantileEstimate;
}

/** Averages of what the backend server did lately. */
export class ServiceTimes {
  #meanMs = 0;

  #failureRatio = 0;

  readonly #routes = new Map<string, RouteTimes>();

  get meanMs(): number {
    return this.#meanMs;
  }

  /** Share of calls that the server failed or shed, 0 to 1. */
  get failureRatio(): number {
    return this.#failureRatio;
  }

  /** Mean time of a route's calls, or of all calls before the first of the route. */
  routeMeanMs(route: string): number {
    return this.#routes.get(route)?.meanMs ?? this.#meanMs;
  }

  /** Time within which three of four calls of a route end. */
  usualMs(route: string): number {
    return this.#routes.get(route)?.usual.value ?? this.#meanMs;
  }

  record(route: string, latencyMs: number, hasFailed: boolean): void {
    this.#failureRatio += (Number(hasFailed) - this.#failureRatio) * updateRate;
    if (hasFailed) return;
    const times = this.#routes.get(route) ?? { meanMs: 0, usual: new QuantileEstimate() };
    this.#routes.set(route, times);
    this.#meanMs = this.#blend(this.#meanMs, latencyMs);
    times.meanMs = this.#blend(times.meanMs, latencyMs);
    times.usual.add(latencyMs);
  }

  #blend(meanMs: number, latencyMs: number): number {
    return meanMs === 0 ? latencyMs : meanMs + (latencyMs - meanMs) * updateRate;
  }
}
