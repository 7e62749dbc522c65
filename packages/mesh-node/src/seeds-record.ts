import type { StoreItem } from '@sequoiafield/store';
import type { Seed } from '@sequoiafield/types';

/** Seeds that are read from a record at most; a record of this project holds fewer. */
const readSeedsMax = 32;
const textMaxLength = 255;
const portMax = 65_535;

/** Seeds record of the store, with its revision for a conditional write; 0 if there is none. */
export interface SeedsRecord {
  readonly seeds: readonly Seed[];
  readonly revision: number;
}

const isText = (value: unknown): value is string =>
  typeof value === 'string' && value.length > 0 && value.length <= textMaxLength;

const isSeed = (value: unknown): value is Seed => {
  const { id, address, gossipPort } = (value ?? {}) as Partial<Seed>;
  if (!isText(id) || !isText(address)) return false;
  return Number.isInteger(gossipPort) && gossipPort! > 0 && gossipPort! <= portMax;
};

/**
 * Decodes the seeds record. Entries that name no usable address are left out; a malformed record counts
 * as empty, and the next write replaces it.
 *
 * @example
 * const { seeds, revision } = decodeSeeds(item);
 */
export const decodeSeeds = (item: StoreItem | undefined): SeedsRecord => {
  if (!item) return { seeds: [], revision: 0 };
  const { revision } = item;
  try {
    const value: unknown = JSON.parse(Buffer.from(item.value).toString('utf8'));
    const seeds = Array.isArray(value) ? value.filter(isSeed).slice(0, readSeedsMax) : [];
    return { seeds, revision };
  } catch {
    return { seeds: [], revision };
  }
};

/** Encodes seeds as the value of the record. */
export const encodeSeeds = (seeds: readonly Seed[]): Uint8Array =>
  Buffer.from(JSON.stringify(seeds));
