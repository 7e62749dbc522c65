const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

/**
 * 32-bit FNV-1a hash of a text, for digests that compare tables and for rendezvous ranking.
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
  // The last steps mix high bits into the low ones, which FNV-1a alone leaves weak.
  hash ^= hash >>> 15;
  hash = Math.imul(hash, 0x2c1b3c6d);
  hash ^= hash >>> 13;
  return hash >>> 0;
};
