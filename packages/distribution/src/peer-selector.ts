import type { RandomSource } from '@sequoiafield/tables';
import { MemberState, type MemberRow, type MemberView } from '@sequoiafield/types';

const canAnswer = (row: MemberRow): boolean =>
  row.state === MemberState.Alive || row.state === MemberState.Draining;

/**
 * Selects members to ask for manifests and sections.
 *
 * @example
 * for (const peer of peers.selectFor(head.senderId)) await ask(peer);
 */
export class PeerSelector {
  constructor(
    private readonly members: MemberView,
    private readonly random: RandomSource,
  ) {}

  /** Returns the sender, then a member of the own service, which wants the same sections, then others. */
  selectFor(senderId: string | undefined, count = 3): readonly MemberRow[] {
    const sender = senderId === undefined ? undefined : this.members.get(senderId);
    const selected = new Map<string, MemberRow>();
    if (sender && sender.id !== this.members.selfId) selected.set(sender.id, sender);
    const service = this.members.get(this.members.selfId)?.service ?? '';
    this.#add(selected, this.members.ofService(service), selected.size + 1);
    this.#add(selected, [...this.members.all()], count);
    return [...selected.values()];
  }

  /** Returns up to `count` members in random order, without this node. */
  selectRandom(count: number): readonly MemberRow[] {
    const selected = new Map<string, MemberRow>();
    this.#add(selected, [...this.members.all()], count);
    return [...selected.values()];
  }

  #add(selected: Map<string, MemberRow>, rows: readonly MemberRow[], size: number): void {
    const candidates = rows.filter(
      (row) => row.id !== this.members.selfId && !selected.has(row.id) && canAnswer(row),
    );
    while (selected.size < size && candidates.length > 0) {
      const index = this.random.nextInt(candidates.length);
      const [row] = candidates.splice(index, 1);
      if (row) selected.set(row.id, row);
    }
  }
}
