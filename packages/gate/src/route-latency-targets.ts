import type { MeshConfiguration, OrdersView } from '@sequoiafield/types';

/** Target of a route that the configuration does not name. */
const targetDefaultMs = 250;
/**
 * Part of a route's target after which its calls count as due in the line, by the route's rank; calls of
 * later ranks count as due at the target. Every call is due at some time, so that none starves.
 */
const dueParts = [0.25, 0.5];

/** How soon calls of a route have to be answered. */
export interface LatencyTarget {
  /** Time within which an answer of the route is worth most. */
  readonly targetMs: number;
  /** Time after which a call of the route goes before calls that come then. */
  readonly dueInMs: number;
}

const urgencyOf = (targetMs: number, rank: number): LatencyTarget => ({
  targetMs,
  dueInMs: targetMs * (dueParts[rank] ?? 1),
});

const unknownRoute = urgencyOf(targetDefaultMs, dueParts.length);

/** Urgencies of the routes of the configuration in force. */
export class RouteLatencyTargets {
  #compiledFrom: MeshConfiguration | undefined;

  #urgencies: ReadonlyMap<string, LatencyTarget> = new Map();

  constructor(private readonly orders: OrdersView) {}

  get(route: string): LatencyTarget {
    const { configuration } = this.orders.current();
    if (configuration !== this.#compiledFrom) {
      this.#compiledFrom = configuration;
      this.#urgencies = new Map(
        configuration?.routes.map(({ name, targetLatencyMs, rank }) => [
          name,
          urgencyOf(targetLatencyMs, rank),
        ]),
      );
    }
    return this.#urgencies.get(route) ?? unknownRoute;
  }
}
