import type { RouteIndexEntry, Snapshot } from '@sequoiafield/types';

interface RouteNode {
  readonly literals: Map<string, RouteNode>;
  parameter?: RouteNode;
  /** Route whose path ends at this node of the tree. */
  entry?: RouteIndexEntry;
  /** Route whose path ends with `*` below this node. */
  restEntry?: RouteIndexEntry;
}

const createNode = (): RouteNode => ({ literals: new Map() });

const splitPath = (path: string): readonly string[] => {
  const queryIndex = path.indexOf('?');
  return (queryIndex < 0 ? path : path.slice(0, queryIndex)).split('/').slice(1);
};

const insertRoute = (root: RouteNode, entry: RouteIndexEntry): void => {
  let node = root;
  for (const segment of splitPath(entry.path)) {
    if (segment === '*') {
      node.restEntry ??= entry;
      return;
    }
    if (segment.startsWith(':')) {
      node.parameter ??= createNode();
      node = node.parameter;
    } else {
      const next = node.literals.get(segment) ?? createNode();
      node.literals.set(segment, next);
      node = next;
    }
  }
  node.entry ??= entry;
};

const findRoute = (
  node: RouteNode,
  segments: readonly string[],
  position: number,
): RouteIndexEntry | undefined => {
  const segment = segments[position];
  if (segment === undefined) return node.entry;
  const literal = node.literals.get(segment);
  const exact =
    (literal && findRoute(literal, segments, position + 1)) ??
    (segment !== '' && node.parameter
      ? findRoute(node.parameter, segments, position + 1)
      : undefined);
  return exact ?? node.restEntry;
};

/**
 * Route index of one snapshot, compiled to one tree per method. In each segment a literal goes
 * before `:name`, and `:name` before `*`, so the most specific route matches regardless of its position
 * in the index. `/tabs/*` matches `/tabs/` and all paths below it, but not `/tabs`.
 *
 * @example
 * const table = new RouteTable(snapshot);
 * table.find('GET', '/tabs/17?full=1')?.name;
 */
export class RouteTable {
  readonly #rootByMethod = new Map<string, RouteNode>();

  constructor(snapshot: Pick<Snapshot, 'mesh'>) {
    for (const entry of snapshot.mesh.routeIndex) {
      const root = this.#rootByMethod.get(entry.method) ?? createNode();
      this.#rootByMethod.set(entry.method, root);
      insertRoute(root, entry);
    }
  }

  /** Finds the most specific entry; a query string in `path` is ignored. */
  find(method: string, path: string): RouteIndexEntry | undefined {
    const root = this.#rootByMethod.get(method);
    return root && path.startsWith('/') ? findRoute(root, splitPath(path), 0) : undefined;
  }
}
