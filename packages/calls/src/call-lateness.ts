/**
 * Members that may refuse a call because its answer would be late, before it may wait at one of them all
 * the same. Each costs a round trip, while the next best member rarely has much more room.
 */
const fullMembersMax = 2;

/** Decides when a call may wait at a member although its answer will be late. */
export class CallLateness {
  /** Members that refused the call because their queues are too long for its target. */
  readonly #fullMemberIds = new Set<string>();

  #mayBeLate = false;

  /** `triedMemberIds` loses the full members once the call may be late, so that they are chosen again. */
  constructor(
    private readonly hasDueTime: boolean,
    private readonly triedMemberIds: Set<string>,
  ) {}

  /** Whether the call may wait at a member although its answer will be late. */
  get mayBeLate(): boolean {
    return this.#mayBeLate;
  }

  recordFull(memberId: string): void {
    this.#fullMemberIds.add(memberId);
    if (this.#fullMemberIds.size >= fullMembersMax) this.allow();
  }

  /** Lets the call be late; returns false if it may be already, or has no due time. */
  allow(): boolean {
    if (this.#mayBeLate || !this.hasDueTime) return false;
    this.#mayBeLate = true;
    for (const id of this.#fullMemberIds) this.triedMemberIds.delete(id);
    return true;
  }
}
