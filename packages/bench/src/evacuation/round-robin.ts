import type { MemberChoice, WeighedCandidate } from '@sequoiafield/routing';

/**
 * Takes every candidate in turn, whatever its load and distance. Baseline only.
 *
 * @example
 * new RoundRobin().choose(candidates);
 */
export class RoundRobin implements MemberChoice {
  #turn = 0;

  choose(candidates: readonly WeighedCandidate[]): WeighedCandidate | undefined {
    this.#turn += 1;
    return candidates[this.#turn % candidates.length];
  }
}
