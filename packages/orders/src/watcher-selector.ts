import { hashText32 } from '@sequoiafield/membership';
import { monotonicNowMs } from '@sequoiafield/tables';
import { takesNewWork, type MemberRow, type MemberView } from '@sequoiafield/types';

/**
 * Nodes of the whole fleet that watch the store, in different data centres if there are as many. The
 * store's calls then do not grow with the fleet. If three machines of fourteen are cut off from the
 * store, these are all watchers in 1 of 364 cases; the reads of the other nodes cover that case.
 */
const fleetWatchersCount = 3;
/** Nodes of one data centre from which the others there fetch orders. */
const relaysPerDataCentreCount = 1;
/**
 * Time for which a node has to be selected before it watches. A node of a fleet that starts knows few
 * members at first, and nearly each one is selected for a moment.
 */
const watchDelayMs = 1000;
/** Interval between selections; each one reads every member. */
const selectionIntervalMs = 300;

/** Nodes that a watcher asks to watch in its place when the store does not serve it. */
const successorsCount = 3;

interface Selection {
  /** Ids of all nodes in the order in which they watch. */
  readonly rankedIds: readonly string[];
  readonly localRelays: readonly MemberRow[];
}

/**
 * Selects the nodes that watch the store, and in each data centre a relay that fetches orders from
 * elsewhere once for all nodes there. Rendezvous hashing: all nodes with the same members table select
 * the same ones.
 */
export class WatcherSelector {
  #selection: Selection = { rankedIds: [], localRelays: [] };

  #selectedAtMs = Number.NEGATIVE_INFINITY;

  #selectedSinceMs: number | undefined;

  constructor(private readonly members: MemberView) {}

  /** Whether this node is among the first that may watch; one that knows no other member is. */
  isSelected(): boolean {
    const rank = this.rank();
    return rank >= 0 && rank < fleetWatchersCount;
  }

  /** Whether this node watches the store: it has been selected for some time. */
  isWatcher(): boolean {
    const isSelected = this.isSelected();
    if (!isSelected) this.#selectedSinceMs = undefined;
    else this.#selectedSinceMs ??= monotonicNowMs();
    return isSelected && monotonicNowMs() - this.#selectedSinceMs! >= watchDelayMs;
  }

  /** Rank of this node among all that may watch; 0 is the first. */
  rank(): number {
    return this.#current().rankedIds.indexOf(this.members.selfId);
  }

  /** Returns the ids of the nodes that follow this one and the watchers in rank. */
  successorIds(): readonly string[] {
    const { rankedIds } = this.#current();
    const ownIndex = rankedIds.indexOf(this.members.selfId);
    const start = Math.max(ownIndex + 1, fleetWatchersCount);
    return rankedIds.slice(start, start + successorsCount);
  }

  /** Returns the relays of the own data centre, in rendezvous order. */
  ownDataCentreRelays(): readonly MemberRow[] {
    return this.#current().localRelays;
  }

  #current(): Selection {
    const nowMs = monotonicNowMs();
    if (nowMs - this.#selectedAtMs >= selectionIntervalMs) {
      this.#selectedAtMs = nowMs;
      this.#selection = this.#select();
    }
    return this.#selection;
  }

  #select(): Selection {
    const self = this.members.get(this.members.selfId);
    const candidates: { readonly row: MemberRow; readonly weight: number }[] = [];
    for (const row of this.members.all()) {
      if (row.id !== self?.id && !takesNewWork(row.state)) continue;
      candidates.push({ row, weight: hashText32(row.id) });
    }
    candidates.sort((left, right) => right.weight - left.weight);
    const ranked = candidates.map(({ row }) => row);
    const firstByDataCentre = new Map<string, MemberRow>();
    for (const row of ranked) {
      if (!firstByDataCentre.has(row.dataCentre)) firstByDataCentre.set(row.dataCentre, row);
    }
    // The first of each data centre come first, then the others by rank.
    const watchers = new Set([...firstByDataCentre.values(), ...ranked]);
    return {
      rankedIds: [...watchers].map(({ id }) => id),
      localRelays: ranked
        .filter(({ dataCentre }) => dataCentre === self?.dataCentre)
        .slice(0, relaysPerDataCentreCount),
    };
  }
}
