import type { HostRoute, WeightedDestination } from '@sequoiafield/types';

/** Smooth weighted round robin of one route: shares are exact at every moment. */
export class DestinationSplitter {
  readonly #credits: number[];

  constructor(private readonly destinations: readonly WeightedDestination[]) {
    this.#credits = destinations.map(() => 0);
  }

  /** Next destination; undefined if no weight is above 0. */
  next(): string | undefined {
    let total = 0;
    let best = -1;
    this.destinations.forEach(({ weight }, index) => {
      total += weight;
      this.#credits[index] = (this.#credits[index] ?? 0) + weight;
      const isAhead = best < 0 || (this.#credits[index] ?? 0) > (this.#credits[best] ?? 0);
      if (weight > 0 && isAhead) best = index;
    });
    if (best < 0) return undefined;
    this.#credits[best] = (this.#credits[best] ?? 0) - total;
    return this.destinations[best]?.service;
  }
}

/** Splitters of the routes in force; one goes on while the destinations of its route are the same. */
export class DestinationSplitters {
  readonly #byRoute = new Map<
    string,
    { readonly key: string; readonly splitter: DestinationSplitter }
  >();

  /** Service of the next request of a route. */
  next({ host, pathPrefix, destinations }: HostRoute): string | undefined {
    if (destinations.length === 1) return destinations[0]?.service;
    const id = `${host}${pathPrefix}`;
    const key = destinations.map(({ service, weight }) => `${service}=${weight}`).join(' ');
    let known = this.#byRoute.get(id);
    if (known?.key !== key) {
      known = { key, splitter: new DestinationSplitter(destinations) };
      this.#byRoute.set(id, known);
    }
    return known.splitter.next();
  }
}
