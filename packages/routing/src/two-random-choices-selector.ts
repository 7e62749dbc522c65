import type { RandomSource } from '@sequoiafield/tables';
import {
  fartherTierLoadRatioMargin,
  spillOverLoadRatio,
  type MemberSelector,
  type WeightedCandidate,
} from './member-selector.js';

const scoreOf = (candidate: WeightedCandidate): number => candidate.loadRatio / candidate.weight;

const groupByTier = (
  candidates: readonly WeightedCandidate[],
): readonly (readonly WeightedCandidate[])[] => {
  const groups: WeightedCandidate[][] = [];
  for (const candidate of candidates) (groups[candidate.tier] ??= []).push(candidate);
  return groups.filter((group) => group !== undefined);
};

/**
 * Chooses the less loaded of two random members (Mitzenmacher, 2001) in the nearest tier; a loaded
 * tier spills over to the next. A ramping near data centre gets only its weight's share of the near
 * calls, and the own instance is preferred if it is not busier than the chosen member.
 *
 * @example
 * new TwoRandomChoicesSelector(new SeededRandom(1)).choose(candidates, 'node-1')?.row.id;
 */
export class TwoRandomChoicesSelector implements MemberSelector {
  constructor(private readonly random: RandomSource) {}

  choose(candidates: readonly WeightedCandidate[], selfId: string): WeightedCandidate | undefined {
    const tiers = groupByTier(candidates);
    let best: WeightedCandidate | undefined;
    for (const [index, tier] of tiers.entries()) {
      const isLast = index === tiers.length - 1;
      if (this.#isSkippedByRamp(tier, isLast && best === undefined)) continue;
      const chosen = this.#chooseInTier(tier, selfId);
      if (!best || chosen.loadRatio + fartherTierLoadRatioMargin < best.loadRatio) best = chosen;
      if (best.loadRatio < spillOverLoadRatio) return best;
    }
    return best;
  }

  #isSkippedByRamp(tier: readonly WeightedCandidate[], isOnlyChoice: boolean): boolean {
    const weight = Math.max(...tier.map((candidate) => candidate.weight));
    return weight < 1 && !isOnlyChoice && this.random.next() >= weight;
  }

  #chooseInTier(tier: readonly WeightedCandidate[], selfId: string): WeightedCandidate {
    const first = this.#pick(tier, undefined);
    const second = tier.length > 1 ? this.#pick(tier, first) : first;
    const better = scoreOf(second) < scoreOf(first) ? second : first;
    const own = tier.find((candidate) => candidate.row.id === selfId);
    return own && scoreOf(own) <= scoreOf(better) ? own : better;
  }

  /** Picks by weight among the tier without `except`. */
  #pick(
    tier: readonly WeightedCandidate[],
    except: WeightedCandidate | undefined,
  ): WeightedCandidate {
    const others = tier.filter((candidate) => candidate !== except);
    const total = others.reduce((sum, candidate) => sum + candidate.weight, 0);
    let remainingWeight = this.random.next() * total;
    const picked = others.find((candidate) => {
      remainingWeight -= candidate.weight;
      return remainingWeight < 0;
    });
    return picked ?? others[others.length - 1]!;
  }
}
