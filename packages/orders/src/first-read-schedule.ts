import type { RandomSource } from '@sequoiafield/tables';
import type { MemberView } from '@sequoiafield/types';
import type { WatcherSelector } from './watcher-selector.js';

/**
 * Time in which a node that starts tries to get the orders from a peer before it reads the store. The
 * random part spreads the reads of a fleet that starts at once.
 */
const firstReadDelayMinMs = 1200;
const firstReadDelaySpreadMs = 800;
/** Time after which a node that knows no other node takes itself for the only one. */
const aloneAfterMs = 3500;
/**
 * Time after which a node that knows another one trusts the selection of watchers although new members
 * still arrive. In a fleet that starts at once they arrive for a second, and no caller is served before the
 * first read.
 */
const membersSettledMaxMs = 250;
/** Time without a new member after which a node that starts trusts the selection of watchers. */
const membersSettledMs = 300;

/**
 * Decides when a node that has no orders yet reads them from the store: the watchers soon, the others
 * only if no peer delivers them. Answers a fleet that starts at once, whose reads would otherwise grow
 * with its size.
 */
export class FirstReadSchedule {
  #startedAtMs: number | undefined;

  #knownFleetSize = 0;

  #settledAtMs = 0;

  /** When this node trusts the selection of watchers at the latest; set once it knows another node. */
  #settledAtMostMs = Number.POSITIVE_INFINITY;

  /** When this node reads although it is no watcher; set once it knows another node. */
  #readAtMs: number | undefined;

  constructor(
    private readonly members: MemberView,
    private readonly watchers: WatcherSelector,
    private readonly random: RandomSource,
  ) {}

  /** Whether to read now; called each tick. */
  isDue(nowMs: number): boolean {
    this.#startedAtMs ??= nowMs;
    const fleetSize = this.members.fleetSize();
    if (fleetSize !== this.#knownFleetSize) {
      this.#knownFleetSize = fleetSize;
      this.#settledAtMs = nowMs + membersSettledMs;
    }
    if (fleetSize <= 1) return nowMs >= this.#startedAtMs + aloneAfterMs;
    if (this.#readAtMs === undefined) {
      this.#readAtMs = nowMs + firstReadDelayMinMs + firstReadDelaySpreadMs * this.random.next();
      this.#settledAtMostMs = nowMs + membersSettledMaxMs;
    }
    const settledAtMs = Math.min(this.#settledAtMs, this.#settledAtMostMs);
    return nowMs >= (this.watchers.isSelected() ? settledAtMs : this.#readAtMs);
  }
}
