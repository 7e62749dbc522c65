import type { HostRoute } from '@sequoiafield/types';

/**
 * Finds routes by host and longest prefix. Prefixes begin and end with a slash, so that only the parts
 * of a path up to one of its slashes have to be looked up.
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
    const hostName = host.toLowerCase();
    const prefixes = this.#byHost.get(hostName) ?? this.#byHost.get(hostName.replace(/:\d+$/, ''));
    if (!prefixes) return undefined;
    for (let slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
      const route = prefixes.get(path.slice(0, slash + 1));
      if (route) return route;
      if (slash === 0) break;
    }
    return undefined;
  }
}
