import { MemberState, type DepartedServer, type MemberRow } from '@sequoiafield/types';

/** Row of the members table with the fields that only gossip uses. */
export interface GossipRow extends MemberRow {
  /** Counter that the member raises to refute a suspicion; its incarnation stays the start time. */
  refutation: number;
  /**
   * Orders the incarnations of a member. Equals its incarnation, or is one above the value received
   * for a former incarnation whose clock was ahead. Calls name the incarnation itself, which differs
   * between processes anyway.
   */
  announcedIncarnation: number;
  service: string;
  backendVersion: string;
  serverRevision: number;
  /** Latest backend server that left this member, in any of its incarnations; undefined if none did. */
  departedServer?: DepartedServer | undefined;
}

/** Whether a member in this state may still run work. */
export const isLiveState = (state: MemberState): boolean => state < MemberState.Left;

/**
 * Returns the server that started later, so that nodes which merge in any order agree.
 *
 * @example
 * row.departedServer = latestDeparted(row.departedServer, received.departedServer);
 */
export const latestDeparted = (
  left: DepartedServer | undefined,
  right: DepartedServer | undefined,
): DepartedServer | undefined => {
  if (!left || !right) return left ?? right;
  if (left.bornAtUnixMs !== right.bornAtUnixMs)
    return left.bornAtUnixMs > right.bornAtUnixMs ? left : right;
  return right.instanceId > left.instanceId ? right : left;
};

interface Precedence {
  readonly announcedIncarnation: number;
  readonly incarnation: number;
  readonly refutation: number;
  readonly state: MemberState;
}

/**
 * Returns a positive number if `left` takes precedence over `right`. Compares the announced
 * incarnation, then the incarnation, so that nodes agree on two processes that announce the same
 * value, then the refutation, then the state.
 */
export const comparePrecedence = (left: Precedence, right: Precedence): number =>
  left.announcedIncarnation - right.announcedIncarnation ||
  left.incarnation - right.incarnation ||
  left.refutation - right.refutation ||
  left.state - right.state;
