import { MemberState } from '@sequoiafield/types';
import type { GossipRow } from './gossip-row.js';
import type { KnownMemberState, MembersTable } from './members-table.js';

/**
 * Maximum number of times that one process raises its announced incarnation. Outranking a former
 * incarnation takes one or two; without a limit, two running processes with the same id would outrank
 * each other endlessly.
 */
const announcedRaisesMax = 8;

/** Spreads what the node says about itself. */
export interface OwnRowSpreader {
  ownRow(): GossipRow;
  spreadRow(row: GossipRow, isUrgent: boolean): void;
  spreadState(row: GossipRow, state: MemberState): void;
}

/**
 * Refutes what other nodes say about this one: a suspicion, or the row of a former incarnation.
 *
 * @example
 * refuter.refute(receivedState);
 */
export class Refuter {
  #announcedRaises = 0;

  constructor(
    private readonly members: MembersTable,
    private readonly spreader: OwnRowSpreader,
  ) {}

  /** Raises the own refutation or announced incarnation above a received state and spreads it. */
  refute(received: KnownMemberState): void {
    const own = this.spreader.ownRow();
    if (received.incarnation !== own.incarnation) {
      this.#outrankFormerIncarnation(received);
      return;
    }
    const isSuspicion =
      received.state === MemberState.Suspect || received.state === MemberState.Dead;
    if (!isSuspicion) return;
    if (received.refutation < own.refutation || own.state === MemberState.Left) return;
    own.refutation = received.refutation + 1;
    this.spreader.spreadState(own, own.state);
  }

  /**
   * Raises the announced incarnation above that of an earlier process with this id whose clock was
   * ahead; otherwise the other nodes ignore this process. Only the announced value is raised: calls
   * still name the start time, which no other incarnation shares.
   */
  #outrankFormerIncarnation(received: KnownMemberState): void {
    const own = this.spreader.ownRow();
    if (received.announcedIncarnation < own.announcedIncarnation) return;
    if (own.state === MemberState.Left || this.#announcedRaises >= announcedRaisesMax) return;
    this.#announcedRaises += 1;
    this.members.raiseOwnIncarnation(received.announcedIncarnation + 1);
    this.spreader.spreadRow(own, true);
  }
}
