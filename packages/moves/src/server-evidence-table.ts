import { combineRouteCounts, type RouteCounts, type ServerEvidence } from './server-evidence.js';
import type { CountsByRoute } from './version-judge.js';

/** Evidence of all nodes about one order; the newest of each node counts. */
export class ServerEvidenceTable {
  readonly #byNode = new Map<string, ServerEvidence>();

  constructor(readonly orderRevision: number) {}

  add(nodeId: string, evidence: ServerEvidence): void {
    if (evidence.orderRevision === this.orderRevision) this.#byNode.set(nodeId, evidence);
  }

  /** Sums over the servers whose version matches. */
  countsOf(isOfVersion: (version: string) => boolean): CountsByRoute {
    const sums = new Map<string, RouteCounts>();
    for (const { backendVersion, routes } of this.#byNode.values()) {
      if (!isOfVersion(backendVersion)) continue;
      for (const [route, counts] of Object.entries(routes)) {
        const sum = sums.get(route);
        sums.set(route, sum ? combineRouteCounts(sum, counts) : counts);
      }
    }
    return sums;
  }

  /** Calls that run on servers whose version matches, as last heard. */
  runningCalls(isOfVersion: (version: string) => boolean): number {
    let running = 0;
    for (const { backendVersion, runningCalls } of this.#byNode.values()) {
      if (isOfVersion(backendVersion)) running += runningCalls;
    }
    return running;
  }

  /** Forgets nodes that are gone, so that their running calls do not hold a move for ever. */
  retain(isKnown: (nodeId: string) => boolean): void {
    for (const id of this.#byNode.keys()) if (!isKnown(id)) this.#byNode.delete(id);
  }
}
