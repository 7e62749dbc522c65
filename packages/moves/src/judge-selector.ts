import { hashText32 } from '@sequoiafield/membership';
import { monotonicNowMs } from '@sequoiafield/tables';
import { MemberState, type MemberView } from '@sequoiafield/types';

/** Interval between selections; each one reads every member. */
const selectionIntervalMs = 300;
/** Judges of one service; one is enough, the others continue if it is killed or partitioned. */
const judgesPerServiceCount = 3;

/** Chooses the nodes that judge a service's move, by rendezvous hashing over the live members. */
export class JudgeSelector {
  readonly #selected = new Map<
    string,
    { readonly atMs: number; readonly ids: readonly string[] }
  >();

  constructor(private readonly members: MemberView) {}

  /** Ids of a service's judges by descending rendezvous weight. */
  judgesOf(service: string): readonly string[] {
    const nowMs = monotonicNowMs();
    const selected = this.#selected.get(service);
    if (selected && nowMs - selected.atMs < selectionIntervalMs) return selected.ids;
    const ids = this.#select(service);
    this.#selected.set(service, { atMs: nowMs, ids });
    return ids;
  }

  #select(service: string): readonly string[] {
    const weightedMembers: { id: string; weight: number }[] = [];
    for (const { id, state } of this.members.all()) {
      if (state !== MemberState.Alive && id !== this.members.selfId) continue;
      weightedMembers.push({ id, weight: hashText32(`${service} ${id}`) });
    }
    weightedMembers.sort((left, right) => right.weight - left.weight);
    return weightedMembers.slice(0, judgesPerServiceCount).map(({ id }) => id);
  }
}
