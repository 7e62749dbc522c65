import { MemberState, type MemberRow } from '@sequoiafield/types';

/** Row of the members table with the counter that orders refutations within an incarnation. */
export interface GossipRow extends MemberRow {
  /** Raised by the member itself to refute a suspicion; the incarnation stays the start time. */
  refutation: number;
  /**
   * Orders the lives of a member: its incarnation, or one above what it heard of a former life that
   * had a clock ahead of its own. Calls name the incarnation, which differs between lives anyway.
   */
  announcedIncarnation: number;
  service: string;
  backendVersion: string;
  serverRevision: number;
}

/** Whether a member in this state may still run work. */
export const isLiveState = (state: MemberState): boolean => state < MemberState.Left;

interface Precedence {
  readonly announcedIncarnation: number;
  readonly incarnation: number;
  readonly refutation: number;
  readonly state: MemberState;
}

/**
 * Positive if `left` wins over `right`: announced incarnation, then start time, so that nodes agree
 * on two lives that announce the same, then refutation, then state.
 */
export const comparePrecedence = (left: Precedence, right: Precedence): number =>
  left.announcedIncarnation - right.announcedIncarnation ||
  left.incarnation - right.incarnation ||
  left.refutation - right.refutation ||
  left.state - right.state;
