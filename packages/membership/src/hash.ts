const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

/**
 * Computes a 32-bit FNV-1a hash of a text, for digests that compare tables and rendezvous hashing.
 * Source: Fowler, Noll, Vo, http://www.isthe.com/chongo/tech/comp/fnv/.
 *
 * @example
 * const bucket = hashText32(row.id) % bucketCount;
 */
export const hashText32 = (text: string): number => {
  let hash = fnvOffset;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime);
  }
  // These steps mix the high bits into the low ones, which FNV-1a alone distributes poorly.
  hash ^= hash >>> 15;
  hash = Math.imul(hash, 0x2c1b3c6d);
  hash ^= hash >>> 13;
  return hash >>> 0;
};
