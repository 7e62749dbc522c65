import type { RandomSource } from '@sequoiafield/tables';
import { MemberState, type MemberRow, type MemberView } from '@sequoiafield/types';

const canAnswer = (row: MemberRow): boolean =>
  row.state === MemberState.Alive || row.state === MemberState.Draining;

/**
 * Chooses members to ask for manifests and sections.
 *
 * @example
 * for (const peer of peers.selectFor(head.senderId)) await ask(peer);
 */
export class PeerSelector {
  constructor(
    private readonly members: MemberView,
    private readonly random: RandomSource,
  ) {}

  /** The sender first, then a member of the own service, which wants the same sections, then others. */
  selectFor(senderId: string | undefined, count = 3): readonly MemberRow[] {
    const sender = senderId === undefined ? undefined : this.members.get(senderId);
    const chosen = new Map<string, MemberRow>();
    if (sender && sender.id !== this.members.selfId) chosen.set(sender.id, sender);
    const service = this.members.get(this.members.selfId)?.service ?? '';
    this.#add(chosen, this.members.ofService(service), chosen.size + 1);
    this.#add(chosen, [...this.members.all()], count);
    return [...chosen.values()];
  }

  /** Up to `count` members in random order, without this node. */
  selectRandom(count: number): readonly MemberRow[] {
    const chosen = new Map<string, MemberRow>();
    this.#add(chosen, [...this.members.all()], count);
    return [...chosen.values()];
  }

  #add(chosen: Map<string, MemberRow>, rows: readonly MemberRow[], size: number): void {
    const left = rows.filter(
      (row) => row.id !== this.members.selfId && !chosen.has(row.id) && canAnswer(row),
    );
    while (chosen.size < size && left.length > 0) {
      const index = this.random.nextInt(left.length);
      const [row] = left.splice(index, 1);
      if (row) chosen.set(row.id, row);
    }
  }
}
