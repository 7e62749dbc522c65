/** Usual latency of one route. */
interface RouteHistory {
  latencyMs: number;
  count: number;
}

/** The history adapts to a lower latency within tens of calls and to a higher one within hundreds. */
const fallRate = 0.1;
const riseRate = 0.004;
/** The latency of a single call counts as at most this many times the history. */
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
    const history = this.#routes.get(route);
    if (!history) {
      this.#routes.set(route, { latencyMs, count: 1 });
      return;
    }
    history.count += 1;
    const boundedMs = Math.min(latencyMs, history.latencyMs * riseMaxRatio);
    const rate = boundedMs < history.latencyMs ? fallRate : riseRate;
    history.latencyMs += (boundedMs - history.latencyMs) * Math.max(rate, 0.5 / history.count);
  }

  /** Ratio of a latency to the usual latency of the route; 1 for a route without history. */
  ratioOf(route: string, latencyMs: number): number {
    const history = this.#routes.get(route);
    return history && history.latencyMs > 0 ? latencyMs / history.latencyMs : 1;
  }

  /** Scales the history of every route after a lasting change of latency that is no cold period. */
  scale(ratio: number): void {
    for (const history of this.#routes.values()) history.latencyMs *= ratio;
  }
}
