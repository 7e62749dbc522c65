import { MemberState, type MemberRow } from '@sequoiafield/types';

/** Whether a member may get new work, by its row in the members table. */
export enum MemberEligibility {
  /** No new work in any case: joining, draining or left. */
  Ineligible = 'never',
  Eligible = 'good',
  /** One observer suspects it. */
  Suspect = 'suspect',
  /** Several observers could not reach it; used only if no other member is left. */
  Dead = 'dead',
}

/** Decides from a member's row whether it may get new work. */
export interface MemberFilter {
  eligibilityOf(row: MemberRow): MemberEligibility;
}

/**
 * Decides by the gossip state of a member.
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
