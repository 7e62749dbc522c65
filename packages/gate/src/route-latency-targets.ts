import type { MeshConfiguration, OrdersView } from '@sequoiafield/types';

/** Latency target of a route that the configuration does not contain. */
const defaultTargetMs = 250;
/**
 * Share of a route's latency target after which its queued calls are due, by the rank of the route.
 * Calls of later ranks are due at the target. Every call becomes due, so that none starves.
 */
const dueTargetShares = [0.25, 0.5];

/** Latency target of a route and the due time that follows from it. */
export interface LatencyTarget {
  /** Time within which an answer of the route has its highest value. */
  readonly targetMs: number;
  /** Time in the queue after which a call of the route goes before calls that arrive then. */
  readonly dueInMs: number;
}

const createLatencyTarget = (targetMs: number, rank: number): LatencyTarget => ({
  targetMs,
  dueInMs: targetMs * (dueTargetShares[rank] ?? 1),
});

const defaultTarget = createLatencyTarget(defaultTargetMs, dueTargetShares.length);

/** Latency targets of the routes in the active configuration. */
export class RouteLatencyTargets {
  #compiledConfiguration: MeshConfiguration | undefined;

  #targets: ReadonlyMap<string, LatencyTarget> = new Map();

  constructor(private readonly orders: OrdersView) {}

  get(route: string): LatencyTarget {
    const { configuration } = this.orders.current();
    if (configuration !== this.#compiledConfiguration) {
      this.#compiledConfiguration = configuration;
      this.#targets = new Map(
        configuration?.routes.map(({ name, targetLatencyMs, rank }) => [
          name,
          createLatencyTarget(targetLatencyMs, rank),
        ]),
      );
    }
    return this.#targets.get(route) ?? defaultTarget;
  }
}
