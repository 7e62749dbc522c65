import type { HostRoute } from '@sequoiafield/types';
import { DestinationSplitter } from './destination-splitter.js';

/** Splitters of the active routes; each is kept while the destinations of its route are unchanged. */
export class DestinationSplitters {
  readonly #byRoute = new Map<
    string,
    { readonly key: string; readonly splitter: DestinationSplitter }
  >();

  /** Returns the service of the next request of a route; undefined if no weight is above 0. */
  next({ host, pathPrefix, destinations }: HostRoute): string | undefined {
    if (destinations.length === 1) return destinations[0]?.service;
    const id = `${host}${pathPrefix}`;
    const key = destinations.map(({ service, weight }) => `${service}=${weight}`).join(' ');
    let entry = this.#byRoute.get(id);
    if (entry?.key !== key) {
      entry = { key, splitter: new DestinationSplitter(destinations) };
      this.#byRoute.set(id, entry);
    }
    return entry.splitter.next();
  }
}
