import { monotonicNowMs } from '@sequoiafield/tables';

interface RouteTime {
  meanMs: number;
  updatedAtMs: number;
}

/** Weight of one call in the average. */
const updateRate = 0.1;
/** An estimate without new calls fades: a slow period must not refuse calls for ever. */
const freshMs = 1000;
const halfLifeMs = 1000;

/** Expected service time of a call, for refusing hopeless deadlines. */
export interface ServiceTimeEstimator {
  /** Expected time in ms; 0 when nothing is known. */
  expectedMs(route: string): number;
  /** Expected time over all routes in ms, for the wait in the queue. */
  meanMs(): number;
  record(route: string, latencyMs: number): void;
}

/**
 * Averages of measured service times per route, halved for each second without a new call.
 *
 * @example
 * const estimate = new DecayingServiceTimeEstimator();
 * estimate.record('settle', 20);
 * estimate.expectedMs('settle'); // 20
 */
export class DecayingServiceTimeEstimator implements ServiceTimeEstimator {
  readonly #routes = new Map<string, RouteTime>();

  readonly #all: RouteTime = { meanMs: 0, updatedAtMs: 0 };

  expectedMs(route: string): number {
    const time = this.#routes.get(route);
    return time ? this.#faded(time) : 0;
  }

  meanMs(): number {
    return this.#faded(this.#all);
  }

  record(route: string, latencyMs: number): void {
    const time = this.#routes.get(route) ?? { meanMs: 0, updatedAtMs: 0 };
    this.#routes.set(route, time);
    this.#update(time, latencyMs);
    this.#update(this.#all, latencyMs);
  }

  #update(time: RouteTime, latencyMs: number): void {
    const previousMs = this.#faded(time);
    Object.assign(time, {
      meanMs: previousMs > 0 ? previousMs + (latencyMs - previousMs) * updateRate : latencyMs,
      updatedAtMs: monotonicNowMs(),
    });
  }

  #faded(time: RouteTime): number {
    const idleMs = monotonicNowMs() - time.updatedAtMs - freshMs;
    return idleMs <= 0 ? time.meanMs : time.meanMs * 0.5 ** (idleMs / halfLifeMs);
  }
}
