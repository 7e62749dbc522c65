import type { WeightedDestination } from '@sequoiafield/types';

/** Smooth weighted round robin of one route: its shares are always exact to within one request. */
export class DestinationSplitter {
  readonly #credits: number[];

  constructor(private readonly destinations: readonly WeightedDestination[]) {
    this.#credits = destinations.map(() => 0);
  }

  /** Returns the next destination; undefined if no weight is above 0. */
  next(): string | undefined {
    let total = 0;
    let bestIndex = -1;
    this.destinations.forEach(({ weight }, index) => {
      total += weight;
      this.#credits[index] = (this.#credits[index] ?? 0) + weight;
      const hasMoreCredit =
        bestIndex < 0 || (this.#credits[index] ?? 0) > (this.#credits[bestIndex] ?? 0);
      if (weight > 0 && hasMoreCredit) bestIndex = index;
    });
    if (bestIndex < 0) return undefined;
    this.#credits[bestIndex] = (this.#credits[bestIndex] ?? 0) - total;
    return this.destinations[bestIndex]?.service;
  }
}
