import { eraOf, type StoreItem } from '@sequoiafield/store';
import { hasSameRawRevision, isWithdrawnByPeer, type HeldEntry } from './entry-merge.js';
import type { EraState } from './era-state.js';
import type { OrdersDelta } from './orders-table.js';

/** Returns the entry that this node holds for a key. */
type HeldEntryOf = (key: string) => HeldEntry | undefined;

/** Returns a check whether an entry is withdrawn, which a newer delta of a peer lacks. */
export const createWithdrawnByPeer = (
  { keys, era: peerEra }: OrdersDelta,
  era: EraState,
): ((held: HeldEntry) => boolean) => {
  const presentKeys = new Set(keys);
  const knownToPeer = peerEra?.formerRevision ?? 0;
  return (held) => !presentKeys.has(held.item.key) && isWithdrawnByPeer(held, knownToPeer, era);
};

/**
 * Whether an entry of a delta that is no newer than this node may still tell it something: about a former
 * era, or how an entry is identified on all nodes.
 */
export const isOfFormerState = (
  { key, revision }: StoreItem,
  heldOf: HeldEntryOf,
  era: EraState,
): boolean => {
  const held = heldOf(key);
  const isSamePlace = held !== undefined && hasSameRawRevision(held.item.revision, revision);
  return isSamePlace || eraOf(revision) < era.era;
};

/** Marks the entries that a peer has seen in the store in the current era. */
export const markShownToPeer = (
  { keys, items, era: peerEra }: OrdersDelta,
  heldOf: HeldEntryOf,
  era: EraState,
  isNewEra: boolean,
): void => {
  if (era.era === 0) return;
  const unconfirmed = new Map(peerEra?.unconfirmed);
  const delivered = new Map(items.map(({ key, revision }) => [key, revision]));
  for (const key of keys) {
    const held = heldOf(key);
    if (!held) continue;
    if (unconfirmed.get(key) !== false) held.presentEra = era.era;
    const { revision } = held.item;
    // A peer that knows less of the former eras may have confirmed an older entry than this one.
    const isSame = delivered.has(key)
      ? delivered.get(key) === revision
      : isNewEra || revision <= (peerEra?.formerRevision ?? 0);
    if (isSame && !unconfirmed.has(key)) held.confirmedEra = era.era;
  }
};
