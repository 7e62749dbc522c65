/** Latency of one route so far. */
interface RouteHistory {
  latencyMs: number;
  count: number;
}

/** History reacts to lower latency within tens of calls and to higher latency within hundreds. */
const fallRate = 0.1;
const riseRate = 0.004;
/** A single call counts as at most this many times the history. */
const riseMaxRatio = 3;

/**
 * Usual latency per route, as an exponential average that falls fast and rises slowly, so that it
 * keeps the warm latency over a cold period of some hundred calls.
 *
 * @example
 * const history = new LatencyHistory();
 * history.record('settle', 12);
 * history.ratioOf('settle', 36); // 3
 */
export class LatencyHistory {
  readonly #routes = new Map<string, RouteHistory>();

  record(route: string, latencyMs: number): void {
    const known = this.#routes.get(route);
    if (!known) {
      this.#routes.set(route, { latencyMs, count: 1 });
      return;
    }
    known.count += 1;
    const bounded = Math.min(latencyMs, known.latencyMs * riseMaxRatio);
    const rate = bounded < known.latencyMs ? fallRate : riseRate;
    known.latencyMs += (bounded - known.latencyMs) * Math.max(rate, 0.5 / known.count);
  }

  /** How many times the usual latency of the route this is; 1 for a route without history. */
  ratioOf(route: string, latencyMs: number): number {
    const known = this.#routes.get(route);
    return known && known.latencyMs > 0 ? latencyMs / known.latencyMs : 1;
  }

  /** Multiplies the history of every route, after a lasting change that is no cold period. */
  scale(ratio: number): void {
    for (const history of this.#routes.values()) history.latencyMs *= ratio;
  }
}
