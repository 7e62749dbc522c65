import type { MemberSelector, WeightedCandidate } from '@sequoiafield/routing';

/**
 * Selects every candidate in turn, regardless of its load and distance; used by the baseline only.
 *
 * @example
 * new RoundRobin().choose(candidates);
 */
export class RoundRobin implements MemberSelector {
  #selectionCount = 0;

  choose(candidates: readonly WeightedCandidate[]): WeightedCandidate | undefined {
    this.#selectionCount += 1;
    return candidates[this.#selectionCount % candidates.length];
  }
}
