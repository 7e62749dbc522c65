import type { MeshConfiguration, OrdersView } from '@sequoiafield/types';

/** Latency target of a route that the configuration does not contain. */
const defaultTargetMs = 250;
/**
 * Share of a route's latency target after which its queued calls are due, by the rank of the call.
 * Calls of later ranks are due at the target. Every call becomes due, so that none starves.
 */
const dueTargetShares = [0.25, 0.5];

/** Latency target of a call and the due time that follows from it. */
export interface LatencyTarget {
  /** Time within which an answer of the route has its highest value. */
  readonly targetMs: number;
  /** Time in the queue after which the call goes before calls that arrive then. */
  readonly dueInMs: number;
}

/** A route that is not known has no rank that could be compared, so that its calls are due last. */
const defaultTarget: LatencyTarget = { targetMs: defaultTargetMs, dueInMs: defaultTargetMs };

/** Latency targets of the routes in the active configuration. */
export class RouteLatencyTargets {
  #compiledConfiguration: MeshConfiguration | undefined;

  #targetsMs: ReadonlyMap<string, number> = new Map();

  constructor(private readonly orders: OrdersView) {}

  /** Returns the target of a call: `rank` is that of its account or, if that has none, of its route. */
  get(route: string, rank: number): LatencyTarget {
    const { configuration } = this.orders.current();
    if (configuration !== this.#compiledConfiguration) {
      this.#compiledConfiguration = configuration;
      this.#targetsMs = new Map(
        configuration?.routes.map(({ name, targetLatencyMs }) => [name, targetLatencyMs]),
      );
    }
    const targetMs = this.#targetsMs.get(route);
    if (targetMs === undefined) return defaultTarget;
    return { targetMs, dueInMs: targetMs * (dueTargetShares[rank] ?? 1) };
  }
}
