/** Weight of one call in the history of a route, once it has enough calls. */
const newCallWeight = 0.02;
/** Routes that are kept; the oldest is dropped beyond it, so that odd names use no more memory. */
const routesMax = 64;
/** Calls of a route before its latencies are compared with its history. */
const routeCallsMin = 3;

interface RouteHistory {
  count: number;
  /** Mean logarithm of the latency. */
  logMs: number;
  /** Mean latency in ms. */
  meanMs: number;
}

/** Usual latencies of a server's routes, corrected for the running calls. */
export class ServerHistory {
  readonly #routes = new Map<string, RouteHistory>();

  /** Returns the logarithm of a latency over the usual one, or undefined while that is not known. */
  logRatio(route: string, latencyMs: number): number | undefined {
    const history = this.#routes.get(route);
    if (!history || history.count < routeCallsMin) return undefined;
    return Math.log(latencyMs) - history.logMs;
  }

  /** Returns the mean latency of a route, or undefined before its first call. */
  meanMs(route: string): number | undefined {
    return this.#routes.get(route)?.meanMs;
  }

  /**
   * Adds a latency; `logCorrection` is the part of its logarithm that is due to the running calls and
   * the present speed.
   */
  add(route: string, latencyMs: number, logCorrection: number): void {
    const known = this.#routes.get(route);
    const history = known ?? { count: 0, logMs: 0, meanMs: 0 };
    if (!known) this.#insert(route, history);
    history.count += 1;
    const weight = Math.max(newCallWeight, 1 / history.count);
    history.logMs += (Math.log(latencyMs) - logCorrection - history.logMs) * weight;
    history.meanMs += (latencyMs / Math.exp(logCorrection) - history.meanMs) * weight;
  }

  /** Shifts the logarithms of all latencies, because another part of them is due to running calls. */
  shift(logRatio: number): void {
    const factor = Math.exp(logRatio);
    for (const history of this.#routes.values()) {
      history.logMs += logRatio;
      history.meanMs *= factor;
    }
  }

  #insert(route: string, history: RouteHistory): void {
    const [oldest] = this.#routes.keys();
    if (this.#routes.size >= routesMax && oldest !== undefined) this.#routes.delete(oldest);
    this.#routes.set(route, history);
  }
}
