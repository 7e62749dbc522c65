import { QuantileEstimator } from './quantile-estimator.js';

/** Weight of one call in the averages; about the last 20 calls determine them. */
const newCallWeight = 0.05;

interface RouteTimes {
  meanMs: number;
  readonly p90Ms: QuantileEstimator;
}

/** Averages of the recent service times and failures of the backend server. */
export class ServiceTimes {
  #meanMs = 0;

  #failureRatio = 0;

  readonly #routes = new Map<string, RouteTimes>();

  get meanMs(): number {
    return this.#meanMs;
  }

  /** Share of calls that failed or were shed by the server, 0 to 1. */
  get failureRatio(): number {
    return this.#failureRatio;
  }

  /** Mean service time of a route, or of all calls before the first call of the route. */
  routeMeanMs(route: string): number {
    return this.#routes.get(route)?.meanMs ?? this.#meanMs;
  }

  /** Time within which nine of ten calls of a route end; before its first call the overall mean. */
  routeP90Ms(route: string): number {
    return this.#routes.get(route)?.p90Ms.value ?? this.#meanMs;
  }

  record(route: string, latencyMs: number, hasFailed: boolean): void {
    this.#failureRatio += (Number(hasFailed) - this.#failureRatio) * newCallWeight;
    if (hasFailed) return;
    const times = this.#routes.get(route) ?? { meanMs: 0, p90Ms: new QuantileEstimator() };
    this.#routes.set(route, times);
    this.#meanMs = this.#updatedMeanMs(this.#meanMs, latencyMs);
    times.meanMs = this.#updatedMeanMs(times.meanMs, latencyMs);
    times.p90Ms.add(latencyMs);
  }

  #updatedMeanMs(meanMs: number, latencyMs: number): number {
    return meanMs === 0 ? latencyMs : meanMs + (latencyMs - meanMs) * newCallWeight;
  }
}
