import type { HostRoute } from '@sequoiafield/types';

/**
 * Routes by host and longest prefix. Prefixes begin and end with a slash, so that only the part of a
 * path up to one of its slashes can be one.
 *
 * @example
 * const route = new HostRouteTable(routes).find('shop.example', '/orders/7');
 */
export class HostRouteTable {
  readonly #byHost = new Map<string, Map<string, HostRoute>>();

  constructor(routes: readonly HostRoute[]) {
    for (const route of routes) {
      const host = route.host.toLowerCase();
      const prefixes = this.#byHost.get(host) ?? new Map<string, HostRoute>();
      prefixes.set(route.pathPrefix, route);
      this.#byHost.set(host, prefixes);
    }
  }

  find(host: string, path: string): HostRoute | undefined {
    const name = host.toLowerCase();
    const prefixes = this.#byHost.get(name) ?? this.#byHost.get(name.replace(/:\d+$/, ''));
    if (!prefixes) return undefined;
    for (let at = path.lastIndexOf('/'); at >= 0; at = path.lastIndexOf('/', at - 1)) {
      const route = prefixes.get(path.slice(0, at + 1));
      if (route) return route;
      if (at === 0) break;
    }
    return undefined;
  }
}
