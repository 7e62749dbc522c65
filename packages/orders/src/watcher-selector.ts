import { hashText32 } from '@sequoiafield/membership';
import { monotonicNowMs } from '@sequoiafield/tables';
import { takesNewWork, type MemberRow, type MemberView } from '@sequoiafield/types';

/**
 * Minimum number of watching nodes in the whole fleet. If a third of the machines is cut off from the
 * store, all 4 watchers are among them in about 1 of 100 cases; the reads of the other nodes cover
 * that case.
 */
const fleetWatchersMin = 4;

/** Interval between selections; each one reads every member. */
const selectionIntervalMs = 300;

/**
 * Selects the nodes that watch the store: the first ones of each data centre by rendezvous hashing,
 * so that orders cross data centres only through the store. All nodes with the same members table
 * select the same watchers.
 */
export class WatcherSelector {
  #localWatchers: readonly MemberRow[] = [];

  #selectedAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly members: MemberView) {}

  /** Whether this node watches the store; a node that knows no other member does. */
  isWatcher(): boolean {
    return this.ownDataCentreWatchers().some(({ id }) => id === this.members.selfId);
  }

  /** Returns the watchers of the own data centre, in rendezvous order. */
  ownDataCentreWatchers(): readonly MemberRow[] {
    const nowMs = monotonicNowMs();
    if (nowMs - this.#selectedAtMs >= selectionIntervalMs) {
      this.#selectedAtMs = nowMs;
      this.#localWatchers = this.#selectLocalWatchers();
    }
    return this.#localWatchers;
  }

  #selectLocalWatchers(): readonly MemberRow[] {
    const self = this.members.get(this.members.selfId);
    const dataCentres = new Set<string>();
    const candidates: { readonly row: MemberRow; readonly weight: number }[] = [];
    for (const row of this.members.all()) {
      if (row.id !== self?.id && !takesNewWork(row.state)) continue;
      dataCentres.add(row.dataCentre);
      if (row.dataCentre !== self?.dataCentre) continue;
      candidates.push({ row, weight: hashText32(row.id) });
    }
    candidates.sort((left, right) => right.weight - left.weight);
    const count = Math.ceil(fleetWatchersMin / Math.max(1, dataCentres.size));
    return candidates.slice(0, count).map(({ row }) => row);
  }
}
