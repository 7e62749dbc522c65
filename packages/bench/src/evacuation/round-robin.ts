import type { MemberSelector, WeightedCandidate } from '@sequoiafield/routing';

/**
 * Takes every candidate in turn, whatever its load and distance. Baseline only.
 *
 * @example
 * new RoundRobin().choose(candidates);
 */
export class RoundRobin implements MemberSelector {
  #turn = 0;

  choose(candidates: readonly WeightedCandidate[]): WeightedCandidate | undefined {
    this.#turn += 1;
    return candidates[this.#turn % candidates.length];
  }
}
