import { eraOf } from '@sequoiafield/store';
import type { EraState } from './era-state.js';
import type { Removal } from './removed-entries.js';

/** What a node tells its peers about the current era of the store; left out in era 0. */
export interface DeltaEra {
  readonly startRevision: number;
  /** Time since the era was first seen. */
  readonly ageMs: number;
  /** Revision up to which the sender knows the entries of former eras. */
  readonly formerRevision: number;
  /** Entries of former eras that the store has not shown; whether it has shown an older one. */
  readonly unconfirmed: readonly (readonly [key: string, isPresent: boolean])[];
}

/** Whether a node that asks for changes lacks an entry or a removal. */
export type LacksRevision = (revision: number) => boolean;

/**
 * Returns which entries a node lacks that is complete up to `sinceRevision`, and up to
 * `formerRevision` in the former eras. A node that has not seen the current era gets all entries, since
 * entries of the copy may have lower revisions than it holds.
 */
export const createLacksRevision = (
  era: number,
  sinceRevision: number,
  formerRevision: number,
): LacksRevision => {
  const hasSeenEra = eraOf(sinceRevision) === era;
  return (revision) => {
    if (!hasSeenEra || revision > sinceRevision) return true;
    return eraOf(revision) < era && revision > formerRevision;
  };
};

/** Returns what a delta tells about the era; nothing in era 0. */
export const describeEra = (
  era: EraState,
  unconfirmed: DeltaEra['unconfirmed'],
): DeltaEra | undefined => {
  if (era.era === 0) return undefined;
  const { startRevision, ageMs, formerRevision } = era;
  return { startRevision, ageMs, formerRevision, unconfirmed };
};

const isRevision = (value: unknown): value is number =>
  Number.isSafeInteger(value) && (value as number) >= 0;

const isPairOf = (value: unknown, isSecond: (second: unknown) => boolean): boolean =>
  Array.isArray(value) && value.length === 2 && typeof value[0] === 'string' && isSecond(value[1]);

/** Reads what a peer tells about the era of the revision that it sends; undefined if malformed. */
export const readDeltaEra = (value: unknown, storeRevision: number): DeltaEra | undefined => {
  const { startRevision, ageMs, formerRevision, unconfirmed } = (value ?? {}) as Partial<DeltaEra>;
  const isValid =
    isRevision(startRevision) &&
    eraOf(startRevision) === eraOf(storeRevision) &&
    isRevision(formerRevision) &&
    typeof ageMs === 'number' &&
    ageMs >= 0 &&
    Array.isArray(unconfirmed) &&
    unconfirmed.every((pair) => isPairOf(pair, (second) => typeof second === 'boolean'));
  return isValid ? { startRevision, ageMs, formerRevision, unconfirmed } : undefined;
};

/** Reads the removals that a peer sends; none if they are malformed. */
export const readRemovals = (value: unknown): readonly Removal[] =>
  Array.isArray(value) && value.every((pair) => isPairOf(pair, isRevision))
    ? (value as readonly Removal[])
    : [];
