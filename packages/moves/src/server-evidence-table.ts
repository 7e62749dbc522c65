import { combineRouteCounts, type RouteCounts, type ServerEvidence } from './server-evidence.js';
import type { CountsByRoute } from './version-judge.js';

/** Latest evidence of each node about one order. */
export class ServerEvidenceTable {
  readonly #byNode = new Map<string, ServerEvidence>();

  constructor(readonly orderRevision: number) {}

  add(nodeId: string, evidence: ServerEvidence): void {
    if (evidence.orderRevision === this.orderRevision) this.#byNode.set(nodeId, evidence);
  }

  /** Sums the counts by route over the servers whose version matches. */
  countsOf(matchesVersion: (version: string) => boolean): CountsByRoute {
    const sums = new Map<string, RouteCounts>();
    for (const { backendVersion, routes } of this.#byNode.values()) {
      if (!matchesVersion(backendVersion)) continue;
      for (const [route, counts] of Object.entries(routes)) {
        const sum = sums.get(route);
        sums.set(route, sum ? combineRouteCounts(sum, counts) : counts);
      }
    }
    return sums;
  }

  /** Calls that run on servers whose version matches, by the latest evidence. */
  runningCalls(matchesVersion: (version: string) => boolean): number {
    let running = 0;
    for (const { backendVersion, runningCalls } of this.#byNode.values()) {
      if (matchesVersion(backendVersion)) running += runningCalls;
    }
    return running;
  }

  /** Deletes nodes that are not known any more, so that their running calls do not block a move. */
  retain(isKnown: (nodeId: string) => boolean): void {
    for (const id of this.#byNode.keys()) if (!isKnown(id)) this.#byNode.delete(id);
  }
}
