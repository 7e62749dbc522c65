import { hashText32 } from '@sequoiafield/membership';
import { MemberState, type MemberView } from '@sequoiafield/types';

/** Judges of one service; one is enough, the others go on when it is killed or cut off. */
const judgesPerService = 3;

/** Chooses the nodes that judge a service's move, by rendezvous hashing over the live members. */
export class JudgeSelector {
  constructor(private readonly members: MemberView) {}

  /** Ids of the judges, the first one first. */
  judgesOf(service: string): readonly string[] {
    const weighed: { id: string; weight: number }[] = [];
    for (const { id, state } of this.members.all()) {
      if (state !== MemberState.Alive && id !== this.members.selfId) continue;
      weighed.push({ id, weight: hashText32(`${service} ${id}`) });
    }
    weighed.sort((left, right) => right.weight - left.weight);
    return weighed.slice(0, judgesPerService).map(({ id }) => id);
  }
}
