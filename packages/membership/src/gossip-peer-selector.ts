import type { RandomSource } from '@sequoiafield/tables';
import { MemberState, type MemberRow } from '@sequoiafield/types';
import type { GossipRow } from './gossip-row.js';
import { hashText32 } from './hash.js';
import type { MembersTable } from './members-table.js';

/**
 * Selects random peers among the live members.
 *
 * @example
 * for (const peer of peerSelector.pick(4, true)) send(peer, push);
 */
export class GossipPeerSelector {
  constructor(
    private readonly members: MembersTable,
    private readonly random: RandomSource,
  ) {}

  /**
   * Returns up to `count` peers, of the own data centre as far as there are any; with
   * `includesOtherDataCentre` one of them is in another data centre if there is such a peer.
   */
  pick(
    count: number,
    includesOtherDataCentre: boolean,
    excluded: ReadonlySet<string> = new Set(),
  ): readonly GossipRow[] {
    const picked = new Map<string, GossipRow>();
    if (includesOtherDataCentre && count > 0) {
      const remotePeer = this.#pickOne(
        (row) => this.#isPeer(row, excluded) && row.dataCentre !== this.members.self.dataCentre,
      );
      if (remotePeer) picked.set(remotePeer.id, remotePeer);
    }
    while (picked.size < count) {
      const nearPeer = this.#pickOne(
        (row) =>
          this.#isPeer(row, excluded) &&
          !picked.has(row.id) &&
          row.dataCentre === this.members.self.dataCentre,
      );
      if (!nearPeer) break;
      picked.set(nearPeer.id, nearPeer);
    }
    while (picked.size < count) {
      const peer = this.#pickOne((row) => this.#isPeer(row, excluded) && !picked.has(row.id));
      if (!peer) break;
      picked.set(peer.id, peer);
    }
    return [...picked.values()];
  }

  /**
   * Returns the members to which this node sends each configuration version that becomes active on it,
   * and which it asks for that version after a restart. Rendezvous hashing keeps the selection stable
   * while the fleet changes.
   */
  pickVersionWitnesses(count: number): readonly MemberRow[] {
    const { self } = this.members;
    const candidates: { row: GossipRow; weight: number }[] = [];
    let bestRemoteCandidate: { row: GossipRow; weight: number } | undefined;
    for (const row of this.members.live()) {
      if (row.id === self.id || row.state === MemberState.Draining) continue;
      const candidate = { row, weight: hashText32(`${self.id} ${row.id}`) };
      const isRemote = row.dataCentre !== self.dataCentre;
      if (isRemote && candidate.weight > (bestRemoteCandidate?.weight ?? -1))
        bestRemoteCandidate = candidate;
      if (candidates.length < count || candidate.weight > (candidates[count - 1]?.weight ?? 0)) {
        candidates.push(candidate);
        candidates.sort((left, right) => right.weight - left.weight);
        candidates.length = Math.min(count, candidates.length);
      }
    }
    const chosen = candidates.map(({ row }) => row);
    const hasRemote = chosen.some((row) => row.dataCentre !== self.dataCentre);
    return hasRemote || !bestRemoteCandidate
      ? chosen
      : [...chosen.slice(0, -1), bestRemoteCandidate.row];
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

  /** A prime stride visits every position and avoids picking neighbours in the table together. */
  #stride(length: number): number {
    return length % 7919 === 0 ? 1 : 7919;
  }
}
