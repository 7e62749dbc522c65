import { hashText32 } from '@sequoiafield/membership';
import { monotonicNowMs } from '@sequoiafield/tables';
import { takesNewWork, type MemberRow, type MemberView } from '@sequoiafield/types';

/** Candidates for a duty in the whole fleet, in different data centres if there are as many. */
const candidatesCount = 3;
/**
 * Time for which a node has to be among the candidates before it acts. A node of a fleet that starts
 * knows few members at first, and nearly each one is a candidate for a moment.
 */
const settleMs = 1000;
/** Interval between selections; each one reads every member. */
const selectionIntervalMs = 300;

/** Selects the candidates for a duty by rendezvous hashing over the live members. */
export class CandidateSelector {
  #rank = -1;

  #selectedAtMs = Number.NEGATIVE_INFINITY;

  #candidateSinceMs: number | undefined;

  constructor(
    private readonly dutyName: string,
    private readonly members: MemberView,
  ) {}

  /**
   * Rank of this node among the candidates, 0 for the first; undefined if it is none or has not been one
   * for long enough.
   */
  rank(): number | undefined {
    const nowMs = monotonicNowMs();
    if (nowMs - this.#selectedAtMs >= selectionIntervalMs) {
      this.#selectedAtMs = nowMs;
      this.#rank = this.#select().findIndex(({ id }) => id === this.members.selfId);
    }
    if (this.#rank < 0) this.#candidateSinceMs = undefined;
    else this.#candidateSinceMs ??= nowMs;
    const isSettled =
      this.#candidateSinceMs !== undefined && nowMs - this.#candidateSinceMs >= settleMs;
    return isSettled ? this.#rank : undefined;
  }

  #select(): readonly MemberRow[] {
    const weighted: { readonly row: MemberRow; readonly weight: number }[] = [];
    for (const row of this.members.all()) {
      if (takesNewWork(row.state))
        weighted.push({ row, weight: hashText32(`${this.dutyName} ${row.id}`) });
    }
    weighted.sort((left, right) => right.weight - left.weight);
    const ranked = weighted.map(({ row }) => row);
    const firstByDataCentre = new Map<string, MemberRow>();
    for (const row of ranked) {
      if (!firstByDataCentre.has(row.dataCentre)) firstByDataCentre.set(row.dataCentre, row);
    }
    return [...new Set([...firstByDataCentre.values(), ...ranked])].slice(0, candidatesCount);
  }
}
