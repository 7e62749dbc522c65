/**
 * Revisions of one era of the store, which ends when the store is restored from a copy. A store client
 * maps revision `r` of era `e` to `e * revisionsPerEra + r`, so that later eras have greater revisions.
 */
export const revisionsPerEra = 2 ** 32;

/**
 * Returns the era of a mapped revision; 0 if the store was never restored.
 *
 * @example
 * eraOfRevision(2 * revisionsPerEra + 7); // 2
 */
export const eraOfRevision = (revision: number): number => Math.floor(revision / revisionsPerEra);
