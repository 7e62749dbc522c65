import {
  eraOf,
  isWrittenLater,
  rawRevisionOf,
  revisionInEra,
  type StoreItem,
} from '@sequoiafield/store';
import { OrderKind, type Order } from './orders-decoder.js';
import type { EraState } from './era-state.js';

/** Entry that a node holds. */
export interface HeldEntry {
  /**
   * The entry with the revision that identifies it on all nodes: the one of the era in which it is known
   * to have been written, which a restore of the store does not change.
   */
  readonly item: StoreItem;
  /** Undefined if the entry is malformed. */
  readonly order: Order | undefined;
  /** Last era in which the store showed the key, with this entry or an older one. */
  presentEra: number;
  /** Last era in which the store showed this entry. */
  confirmedEra: number;
}

/** What to do with an entry that the store shows. */
export enum ShownEntry {
  /** It is older than what this node knows. */
  Ignored = 'ignored',
  /** This node holds it. */
  Confirmed = 'confirmed',
  Accepted = 'accepted',
}

/** What a node knows about a key of which the store shows an entry. */
export interface KnownState {
  readonly held: HeldEntry | undefined;
  /** Revision up to which the key is known to be removed; undefined if it is not. */
  readonly removedRevision: number | undefined;
}

/** Whether two items have the same bytes. */
export const hasSameValue = (left: StoreItem, right: StoreItem): boolean =>
  Buffer.compare(left.value, right.value) === 0;

/** Whether two revisions have the same number in the store. */
export const hasSameRawRevision = (left: number, right: number): boolean =>
  rawRevisionOf(left) === rawRevisionOf(right);

const configVersionOf = (order: Order | undefined): number =>
  order?.kind === OrderKind.Configuration ? order.configuration.version : 0;

/**
 * Decides about an entry that the store shows in the current era. An entry up to the era's start may
 * belong to the copy from which the store was restored, and is then ignored if it is older than what
 * the node holds or has seen removed. A held entry that is written again in a new era, with the same
 * value, stays the same entry, so that a move does not start again.
 *
 * @example
 * decideShown(item, { held, removedRevision: undefined }, era, () => decoder.decode(item));
 */
export const decideShown = (
  shown: StoreItem,
  { held, removedRevision }: KnownState,
  era: Pick<EraState, 'era' | 'startRevision'>,
  decode: () => Order | undefined,
): ShownEntry => {
  const isLater = (revision: number): boolean =>
    isWrittenLater(shown.revision, revision, era.startRevision);
  if (!held) {
    const isNew = removedRevision === undefined || isLater(removedRevision);
    return isNew ? ShownEntry.Accepted : ShownEntry.Ignored;
  }
  const { revision } = held.item;
  if (revision === shown.revision) return ShownEntry.Confirmed;
  if (eraOf(revision) === era.era) {
    return isLater(revision) ? ShownEntry.Accepted : ShownEntry.Ignored;
  }
  const isSamePlace = hasSameRawRevision(revision, shown.revision);
  const isUnconfirmed = held.confirmedEra !== era.era;
  if ((isSamePlace || isUnconfirmed) && hasSameValue(held.item, shown)) return ShownEntry.Confirmed;
  // A number of the store stands for another write only if it was assigned a second time.
  if (isSamePlace || isLater(revision)) return ShownEntry.Accepted;
  // Versions only rise, so that a higher one is newer whatever its revision is.
  const isHigherVersion = configVersionOf(decode()) > configVersionOf(held.order);
  return isHigherVersion ? ShownEntry.Accepted : ShownEntry.Ignored;
};

/**
 * Returns the revision that identifies an accepted entry on all nodes. What was certainly written in the
 * current era has its revision there; any other entry counts as one of the era of what was known before,
 * or of era 0, so that a peer which knows a newer state of the key does not take it over.
 */
export const identifyAccepted = (
  { revision }: StoreItem,
  { held, removedRevision }: KnownState,
  era: Pick<EraState, 'era' | 'startRevision' | 'formerRevision'>,
): number => {
  const known = held?.item.revision ?? removedRevision;
  const isNewWrite = known !== undefined && rawRevisionOf(revision) <= rawRevisionOf(known);
  if (era.era === 0 || revision > era.startRevision || isNewWrite) return revision;
  return revisionInEra(eraOf(known ?? era.formerRevision), rawRevisionOf(revision));
};

const isOutcome = (order: Order | undefined): boolean => order?.kind === OrderKind.MoveRecord;

/**
 * Whether a held entry counts as withdrawn since a complete answer of the store in the current era lacks
 * it. An entry of a former era that the store has not shown since its restore may only be missing in the
 * copy.
 */
export const isWithdrawn = (held: HeldEntry, era: EraState): boolean =>
  eraOf(held.item.revision) === era.era || held.presentEra === era.era || era.isSettled;

/**
 * Whether a held entry counts as withdrawn since a newer delta of a peer lacks it; the peer knows the
 * entries of former eras up to `formerRevision`.
 */
export const isWithdrawnByPeer = (
  held: HeldEntry,
  formerRevision: number,
  era: EraState,
): boolean => {
  const { revision } = held.item;
  // Not every node reads the outcomes of moves, so that a peer may never have had one.
  if (isOutcome(held.order) && eraOf(revision) < era.era) return false;
  return revision <= formerRevision || isWithdrawn(held, era);
};

/**
 * Whether the store has not shown a held entry in the current era. Outcomes of moves are left out: nodes
 * write them again, and they are not part of the range that a node follows.
 */
export const isUnconfirmed = ({ item, order, confirmedEra }: HeldEntry, era: EraState): boolean =>
  eraOf(item.revision) < era.era && confirmedEra !== era.era && !isOutcome(order);

/** Whether the store has lacked an entry of a former era for so long that it counts as withdrawn. */
export const isLost = (held: HeldEntry, era: EraState): boolean =>
  era.isSettled && held.presentEra !== era.era && isUnconfirmed(held, era);
