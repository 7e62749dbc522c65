import { MemberState, type MemberRow } from '@sequoiafield/types';

/** What the members table says about sending a member new work. */
export enum MemberEligibility {
  /** No new work in any case: joining, draining or left. */
  Ineligible = 'never',
  Eligible = 'good',
  /** One observer doubts it. */
  Suspect = 'suspect',
  /** Several observers did not reach it; only the last resort when no other is left. */
  Dead = 'dead',
}

/** Decides from a member's row whether it may get new work. */
export interface MemberFilter {
  eligibilityOf(row: MemberRow): MemberEligibility;
}

/**
 * Standing by gossip state.
 *
 * @example
 * new StateMemberFilter().eligibilityOf(row) === MemberEligibility.Eligible;
 */
export class StateMemberFilter implements MemberFilter {
  eligibilityOf(row: MemberRow): MemberEligibility {
    switch (row.state) {
      case MemberState.Alive:
        return MemberEligibility.Eligible;
      case MemberState.Suspect:
        return MemberEligibility.Suspect;
      case MemberState.Dead:
        return MemberEligibility.Dead;
      default:
        return MemberEligibility.Ineligible;
    }
  }
}
