import { QuantileEstimator } from './quantile-estimator.js';

/** Weight of one call in the averages: the last 20 calls or so decide. */
const updateRate = 0.05;
interface RouteTimes {
  meanMs: number;
  readonly usual: QuantileEstimator;
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

  /** Time within which nine of ten calls of a route end. */
  routeP90Ms(route: string): number {
    return this.#routes.get(route)?.usual.value ?? this.#meanMs;
  }

  record(route: string, latencyMs: number, hasFailed: boolean): void {
    this.#failureRatio += (Number(hasFailed) - this.#failureRatio) * updateRate;
    if (hasFailed) return;
    const times = this.#routes.get(route) ?? { meanMs: 0, usual: new QuantileEstimator() };
    this.#routes.set(route, times);
    this.#meanMs = this.#blend(this.#meanMs, latencyMs);
    times.meanMs = this.#blend(times.meanMs, latencyMs);
    times.usual.add(latencyMs);
  }

  #blend(meanMs: number, latencyMs: number): number {
    return meanMs === 0 ? latencyMs : meanMs + (latencyMs - meanMs) * updateRate;
  }
}
