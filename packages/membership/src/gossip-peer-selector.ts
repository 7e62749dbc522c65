import type { RandomSource } from '@sequoiafield/tables';
import { MemberState, type MemberRow } from '@sequoiafield/types';
import type { GossipRow } from './gossip-row.js';
import { hashText32 } from './hash.js';
import type { MembersTable } from './members-table.js';

/**
 * Chooses peers at random among the live members.
 *
 * @example
 * for (const peer of picker.pick(4, true)) send(peer, push);
 */
export class GossipPeerSelector {
  constructor(
    private readonly members: MembersTable,
    private readonly random: RandomSource,
  ) {}

  /** Up to `count` peers; with `isSpread` one of them is in another data centre if any is. */
  pick(
    count: number,
    isSpread: boolean,
    excluded: ReadonlySet<string> = new Set(),
  ): readonly GossipRow[] {
    const picked = new Map<string, GossipRow>();
    if (isSpread && count > 0) {
      const distant = this.#pickOne(
        (row) => this.#isPeer(row, excluded) && row.dataCentre !== this.members.self.dataCentre,
      );
      if (distant) picked.set(distant.id, distant);
    }
    while (picked.size < count) {
      const peer = this.#pickOne((row) => this.#isPeer(row, excluded) && !picked.has(row.id));
      if (!peer) break;
      picked.set(peer.id, peer);
    }
    return [...picked.values()];
  }

  /**
   * The members that are told each version this node takes over and that it asks again after a
   * restart; rendezvous hashing keeps them the same while the fleet changes.
   */
  pickVersionWitnesses(count: number): readonly MemberRow[] {
    const { self } = this.members;
    const weighed: { row: GossipRow; weight: number }[] = [];
    let distant: { row: GossipRow; weight: number } | undefined;
    for (const row of this.members.live()) {
      if (row.id === self.id || row.state === MemberState.Draining) continue;
      const candidate = { row, weight: hashText32(`${self.id} ${row.id}`) };
      const isDistant = row.dataCentre !== self.dataCentre;
      if (isDistant && candidate.weight > (distant?.weight ?? -1)) distant = candidate;
      if (weighed.length < count || candidate.weight > (weighed[count - 1]?.weight ?? 0)) {
        weighed.push(candidate);
        weighed.sort((left, right) => right.weight - left.weight);
        weighed.length = Math.min(count, weighed.length);
      }
    }
    const chosen = weighed.map(({ row }) => row);
    const isOneDistant = chosen.some((row) => row.dataCentre !== self.dataCentre);
    return isOneDistant || !distant ? chosen : [...chosen.slice(0, -1), distant.row];
  }

  #isPeer(row: GossipRow, excluded: ReadonlySet<string>): boolean {
    return row.id !== this.members.selfId && !excluded.has(row.id);
  }

  #pickOne(accepts: (row: GossipRow) => boolean): GossipRow | undefined {
    const live = this.members.live();
    if (live.length === 0) return undefined;
    const start = this.random.nextInt(live.length);
    for (let offset = 0; offset < live.length; offset++) {
      const row = live[(start + offset * this.#stride(live.length)) % live.length];
      if (row && accepts(row)) return row;
    }
    return undefined;
  }

  /** A prime step visits every place and keeps neighbours in the table from being picked together. */
  #stride(length: number): number {
    return length % 7919 === 0 ? 1 : 7919;
  }
}
