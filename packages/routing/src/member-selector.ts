import type { MemberRow } from '@sequoiafield/types';
import type { LocalityTier } from './candidate-sets.js';

/** Candidate of one choice with its current weight and load. */
export interface WeightedCandidate {
  readonly row: MemberRow;
  readonly tier: LocalityTier;
  /** Weight of its data centre, over 0 and at most 1. */
  readonly weight: number;
  /** Share of its slots in use if it got this call. */
  readonly loadRatio: number;
}

/** Chooses one of several usable members. */
export interface MemberSelector {
  choose(candidates: readonly WeightedCandidate[], selfId: string): WeightedCandidate | undefined;
}

/** Load ratio from which calls spill over to a farther tier. */
export const spillOverLoadRatio = 0.8;
/** The load ratio of a farther member must be lower by this much; the way there costs time as well. */
export const fartherTierLoadRatioMargin = 0.2;
