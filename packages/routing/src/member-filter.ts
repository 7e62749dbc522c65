import { MemberState, type MemberRow } from '@sequoiafield/types';

/** What the members table says about sending a member new work. */
export enum MemberStanding {
  /** No new work in any case: joining, draining or left. */
  Never = 'never',
  Good = 'good',
  /** One observer doubts it. */
  Suspect = 'suspect',
  /** Several observers did not reach it; only the last resort when no other is left. */
  Dead = 'dead',
}

/** Decides from a member's row whether it may get new work. */
export interface MemberFilter {
  standingOf(row: MemberRow): MemberStanding;
}

/**
 * Standing by gossip state.
 *
 * @example
 * new StateMemberFilter().standingOf(row) === MemberStanding.Good;
 */
export class StateMemberFilter implements MemberFilter {
  standingOf(row: MemberRow): MemberStanding {
    switch (row.state) {
      case MemberState.Alive:
        return MemberStanding.Good;
      case MemberState.Suspect:
        return MemberStanding.Suspect;
      case MemberState.Dead:
        return MemberStanding.Dead;
      default:
        return MemberStanding.Never;
    }
  }
}
