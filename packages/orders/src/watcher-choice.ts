import { hashText } from '@sequoiafield/membership';
import { MemberState, type MemberRow, type MemberView } from '@sequoiafield/types';

/**
 * Watching nodes of the whole fleet at least. With 4 watchers, a third of the machines cut off from
 * the store leaves none in about 1 of 100 cases; the reads of the other nodes cover that.
 */
const watchersMin = 4;

const isEligible = (row: MemberRow): boolean =>
  row.state === MemberState.Alive || row.state === MemberState.Suspect;

/**
 * Chooses the nodes that watch the store: the first of each data centre by rendezvous hashing, so
 * that orders cross data centres only through the store. All nodes with the same members table choose
 * the same ones.
 */
export class WatcherChoice {
  constructor(private readonly members: MemberView) {}

  /** Whether this node watches; a node that knows no other one does. */
  isWatcher(): boolean {
    const self = this.members.get(this.members.selfId);
    if (!self) return true;
    const places = new Set<string>();
    const ownWeight = hashText(self.id);
    let higher = 0;
    for (const row of this.members.all()) {
      if (row.id === self.id || !isEligible(row)) continue;
      places.add(row.dataCentre);
      if (row.dataCentre === self.dataCentre && hashText(row.id) > ownWeight) higher += 1;
    }
    places.add(self.dataCentre);
    return higher < Math.ceil(watchersMin / places.size);
  }
}
