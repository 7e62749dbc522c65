import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { DistributionError } from '@sequoiafield/errors';
import type { StoreItem } from '@sequoiafield/store';
import { applyEntryPatch, createEntryPatch, type EntryPatch } from './entry-patch.js';

/** Values up to this size are sent as they are. */
export const plainValueMaxBytes = 1024;
/** Largest value of the store, which a compressed value may not exceed. */
const valueMaxBytes = 4 * 1024 * 1024;

/** Entry on the wire: the value as it is, compressed, or as a patch of a value that the receiver holds. */
export interface WireEntry {
  readonly key: string;
  readonly revision: number;
  readonly value?: Uint8Array;
  readonly deflated?: Uint8Array;
  readonly patch?: EntryPatch;
  /** Revision of the value to which the patch applies. */
  readonly baseRevision?: number;
}

/** Returns the value of a key at a revision, if it is still held. */
export type HeldValue = (key: string, revision: number) => Uint8Array | undefined;

const patchedBytes = ({ parts }: EntryPatch): number =>
  parts.reduce((sum, part) => sum + (part instanceof Uint8Array ? part.length : 8), 0);

/**
 * Encodes entries for peers. Results are kept, since all nodes of a data centre ask for the same
 * change within a short time.
 */
export class EntryCodec {
  readonly #encoded = new Map<string, { readonly revision: number; readonly entry: WireEntry }>();

  /** Encodes an entry for a peer that holds the value of `heldRevision`; 0 if it holds none. */
  encode(item: StoreItem, heldRevision: number, held: HeldValue): WireEntry {
    if (item.value.length <= plainValueMaxBytes) return item;
    const cacheKey = `${item.key} ${heldRevision}`;
    const known = this.#encoded.get(cacheKey);
    if (known?.revision === item.revision) return known.entry;
    for (const [otherKey, { revision, entry }] of this.#encoded) {
      if (entry.key === item.key && revision !== item.revision) this.#encoded.delete(otherKey);
    }
    const entry = this.#encodeLarge(item, heldRevision, held);
    this.#encoded.set(cacheKey, { revision: item.revision, entry });
    return entry;
  }

  /**
   * Decodes an entry; undefined if this node no longer holds the base of its patch. Throws if the entry
   * is malformed.
   */
  decode(entry: WireEntry, held: HeldValue): StoreItem | undefined {
    const { key, revision, value, deflated, patch, baseRevision } = entry;
    if (typeof key !== 'string' || !Number.isSafeInteger(revision)) {
      throw new DistributionError('An entry of a peer lacks a key or a revision');
    }
    if (value instanceof Uint8Array) return { key, revision, value };
    if (deflated instanceof Uint8Array) {
      const inflated = inflateRawSync(deflated, { maxOutputLength: valueMaxBytes });
      return { key, revision, value: inflated };
    }
    if (!patch || !Array.isArray(patch.parts) || typeof baseRevision !== 'number') {
      throw new DistributionError(`The entry ${key} of a peer has no value`);
    }
    const base = held(key, baseRevision);
    return base && { key, revision, value: applyEntryPatch(base, patch) };
  }

  #encodeLarge(item: StoreItem, heldRevision: number, held: HeldValue): WireEntry {
    const { key, revision, value } = item;
    const base = heldRevision > 0 ? held(key, heldRevision) : undefined;
    if (base) {
      const patch = createEntryPatch(base, value);
      if (patchedBytes(patch) < value.length / 2) {
        return { key, revision, patch, baseRevision: heldRevision };
      }
    }
    return { key, revision, deflated: deflateRawSync(value) };
  }
}
