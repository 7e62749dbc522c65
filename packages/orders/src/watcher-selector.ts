import { hashText32 } from '@sequoiafield/membership';
import { monotonicNowMs } from '@sequoiafield/tables';
import { takesNewWork, type MemberRow, type MemberView } from '@sequoiafield/types';

/**
 * Watching nodes of the whole fleet at least. With 4 watchers, a third of the machines cut off from
 * the store leaves none in about 1 of 100 cases; the reads of the other nodes cover that.
 */
const watchersMin = 4;

/** A choice holds for this long; it reads every member. */
const chosenForMs = 300;

/**
 * Chooses the nodes that watch the store: the first of each data centre by rendezvous hashing, so
 * that orders cross data centres only through the store. All nodes with the same members table choose
 * the same ones.
 */
export class WatcherSelector {
  #chosen: readonly MemberRow[] = [];

  #chosenAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly members: MemberView) {}

  /** Whether this node watches; a node that knows no other one does. */
  isWatcher(): boolean {
    return this.ownDataCentreWatchers().some(({ id }) => id === this.members.selfId);
  }

  /** Watchers of the own data centre, the first one first. */
  ownDataCentreWatchers(): readonly MemberRow[] {
    const nowMs = monotonicNowMs();
    if (nowMs - this.#chosenAtMs >= chosenForMs) {
      this.#chosenAtMs = nowMs;
      this.#chosen = this.#choose();
    }
    return this.#chosen;
  }

  #choose(): readonly MemberRow[] {
    const self = this.members.get(this.members.selfId);
    const places = new Set<string>();
    const near: { readonly row: MemberRow; readonly weight: number }[] = [];
    for (const row of this.members.all()) {
      if (row.id !== self?.id && !takesNewWork(row.state)) continue;
      places.add(row.dataCentre);
      if (row.dataCentre !== self?.dataCentre) continue;
      near.push({ row, weight: hashText32(row.id) });
    }
    near.sort((left, right) => right.weight - left.weight);
    const count = Math.ceil(watchersMin / Math.max(1, places.size));
    return near.slice(0, count).map(({ row }) => row);
  }
}
