import { monotonicNowMs } from '@sequoiafield/tables';

interface RouteTime {
  meanMs: number;
  updatedAtMs: number;
}

/** Weight of one call in the average. */
const newCallWeight = 0.1;
/** Time after its last call from which an estimate decays; else a slow period refuses calls for ever. */
const decayDelayMs = 1000;
const halfLifeMs = 1000;

/** Estimates service times, so that calls whose deadline cannot be met are refused. */
export interface ServiceTimeEstimator {
  /** Expected service time of a call of the route in ms; 0 when nothing is known. */
  expectedMs(route: string): number;
  /** Expected service time over all routes in ms, used to estimate the wait in the queue. */
  meanMs(): number;
  record(route: string, latencyMs: number): void;
}

/**
 * Averages service times per route. An average without new calls halves each second, starting one
 * second after its last call.
 *
 * @example
 * const estimator = new DecayingServiceTimeEstimator();
 * estimator.record('settle', 20);
 * estimator.expectedMs('settle'); // 20
 */
export class DecayingServiceTimeEstimator implements ServiceTimeEstimator {
  readonly #routes = new Map<string, RouteTime>();

  readonly #allRoutes: RouteTime = { meanMs: 0, updatedAtMs: 0 };

  expectedMs(route: string): number {
    const time = this.#routes.get(route);
    return time ? this.#decayedMeanMs(time) : 0;
  }

  meanMs(): number {
    return this.#decayedMeanMs(this.#allRoutes);
  }

  record(route: string, latencyMs: number): void {
    const time = this.#routes.get(route) ?? { meanMs: 0, updatedAtMs: 0 };
    this.#routes.set(route, time);
    this.#update(time, latencyMs);
    this.#update(this.#allRoutes, latencyMs);
  }

  #update(time: RouteTime, latencyMs: number): void {
    const previousMs = this.#decayedMeanMs(time);
    Object.assign(time, {
      meanMs: previousMs > 0 ? previousMs + (latencyMs - previousMs) * newCallWeight : latencyMs,
      updatedAtMs: monotonicNowMs(),
    });
  }

  #decayedMeanMs(time: RouteTime): number {
    const idleMs = monotonicNowMs() - time.updatedAtMs - decayDelayMs;
    return idleMs <= 0 ? time.meanMs : time.meanMs * 0.5 ** (idleMs / halfLifeMs);
  }
}
