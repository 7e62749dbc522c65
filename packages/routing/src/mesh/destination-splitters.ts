import type { HostRoute } from '@sequoiafield/types';
import { DestinationSplitter } from './destination-splitter.js';

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
