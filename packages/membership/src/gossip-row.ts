import { MemberState, type MemberRow } from '@sequoiafield/types';

/** Row of the members table with the counter that orders refutations within an incarnation. */
export interface GossipRow extends MemberRow {
  /** Raised by the member itself to refute a suspicion; the incarnation stays the start time. */
  refutation: number;
}

/** Whether a member in this state may still run work. */
export const isLiveState = (state: MemberState): boolean => state < MemberState.Left;

interface Precedence {
  readonly incarnation: number;
  readonly refutation: number;
  readonly state: MemberState;
}

/** Positive if `left` wins over `right`: incarnation, then refutation, then state. */
export const comparePrecedence = (left: Precedence, right: Precedence): number =>
  left.incarnation - right.incarnation ||
  left.refutation - right.refutation ||
  left.state - right.state;
