import type { WeightedDestination } from '@sequoiafield/types';

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
