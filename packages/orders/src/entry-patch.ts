import { DistributionError } from '@sequoiafield/errors';
import { hashText32 } from '@sequoiafield/membership';

/** Bytes that a copied part has at least; shorter equal parts are sent as they are. */
const blockBytes = 32;
/** Factor of the rolling hash of one block. */
const hashFactor = 0x01000193;

/** Parts of a value in order: `[offset, length]` copies a part of the base, bytes are new. */
export type PatchPart = readonly [offset: number, length: number] | Uint8Array;

/** Difference between two values of an entry. */
export interface EntryPatch {
  readonly parts: readonly PatchPart[];
  /** Length and hash of the patched value, which show a patch that was applied to a wrong base. */
  readonly lengthBytes: number;
  readonly hash: number;
}

const hashOf = (value: Uint8Array): number => hashText32(Buffer.from(value).toString('latin1'));

const hashBlock = (value: Uint8Array, start: number): number => {
  let hash = 0;
  for (let index = start; index < start + blockBytes; index++) {
    hash = (Math.imul(hash, hashFactor) + value[index]!) | 0;
  }
  return hash;
};

/** Factor by which the first byte of a block counts in the block's hash. */
const firstByteFactor = ((): number => {
  let factor = 1;
  for (let index = 1; index < blockBytes; index++) factor = Math.imul(factor, hashFactor);
  return factor;
})();

const indexBlocks = (base: Uint8Array): ReadonlyMap<number, number> => {
  const offsets = new Map<number, number>();
  for (let start = 0; start + blockBytes <= base.length; start += blockBytes) {
    const hash = hashBlock(base, start);
    if (!offsets.has(hash)) offsets.set(hash, start);
  }
  return offsets;
};

const equalLength = (
  base: Uint8Array,
  baseStart: number,
  target: Uint8Array,
  targetStart: number,
): number => {
  const limit = Math.min(base.length - baseStart, target.length - targetStart);
  let length = 0;
  while (length < limit && base[baseStart + length] === target[targetStart + length]) length += 1;
  return length;
};

/**
 * Creates the difference between two values of an entry, so that a change of one route costs the bytes
 * of that route.
 *
 * @example
 * const patch = createEntryPatch(known, changed);
 * applyEntryPatch(known, patch); // equals changed
 */
export const createEntryPatch = (base: Uint8Array, target: Uint8Array): EntryPatch => {
  const offsets = indexBlocks(base);
  const parts: PatchPart[] = [];
  let newStart = 0;
  let position = 0;
  const copyTo = (baseStart: number, length: number): void => {
    if (position > newStart) parts.push(target.slice(newStart, position));
    parts.push([baseStart, length]);
    position += length;
    newStart = position;
  };
  const prefixLength = equalLength(base, 0, target, 0);
  if (prefixLength >= blockBytes) copyTo(0, prefixLength);
  let hash: number | undefined;
  while (position + blockBytes <= target.length) {
    hash ??= hashBlock(target, position);
    const baseStart = offsets.get(hash);
    const length = baseStart === undefined ? 0 : equalLength(base, baseStart, target, position);
    if (baseStart !== undefined && length >= blockBytes) {
      copyTo(baseStart, length);
      hash = undefined;
    } else {
      const withoutFirst = hash - Math.imul(target[position]!, firstByteFactor);
      const next = target[position + blockBytes] ?? 0;
      hash = (Math.imul(withoutFirst, hashFactor) + next) | 0;
      position += 1;
    }
  }
  if (target.length > newStart) parts.push(target.slice(newStart));
  return { parts, lengthBytes: target.length, hash: hashOf(target) };
};

/**
 * Applies a patch; throws `DistributionError` if the result is not the value that the patch was made of.
 *
 * @example
 * const changed = applyEntryPatch(known, patch);
 */
export const applyEntryPatch = (base: Uint8Array, patch: EntryPatch): Uint8Array => {
  const pieces: Uint8Array[] = [];
  let lengthBytes = 0;
  for (const part of patch.parts) {
    const piece = part instanceof Uint8Array ? part : base.subarray(part[0], part[0] + part[1]);
    lengthBytes += piece.length;
    if (lengthBytes > patch.lengthBytes) break;
    pieces.push(piece);
  }
  const value = Buffer.concat(pieces);
  if (value.length !== patch.lengthBytes || hashOf(value) !== patch.hash) {
    throw new DistributionError(
      'The patch of an entry does not fit the value that it is applied to',
    );
  }
  return value;
};
