/** Revisions of one era; the revisions of a later era are greater than all of an earlier one. */
const revisionsPerEra = 2 ** 32;

/**
 * Returns the era of a revision. The era of the store rises by one each time the store is restored from
 * an older copy, after which it assigns revisions a second time. It is 0 for a store that names none.
 *
 * @example
 * eraOf(revisionInEra(2, 412)); // 2
 */
export const eraOf = (revision: number): number => Math.floor(revision / revisionsPerEra);

/**
 * Returns the number that the store itself gives a revision.
 *
 * @example
 * rawRevisionOf(revisionInEra(2, 412)); // 412
 */
export const rawRevisionOf = (revision: number): number => revision % revisionsPerEra;

/**
 * Returns the revision that stands for a number of the store in an era.
 *
 * @example
 * revisionInEra(1, 412) > revisionInEra(0, 9000); // true
 */
export const revisionInEra = (era: number, rawRevision: number): number =>
  era * revisionsPerEra + rawRevision;

/**
 * Whether an entry that the store shows now was written later than a revision that is known from before.
 * `eraStart` is the store's revision at an answer in the era of the entry; the copy is not newer than
 * that. An entry up to it may belong to the copy, so that only the shared history decides. In doubt the
 * answer is false: an entry that a copy brings back must not replace a newer one.
 *
 * @example
 * isWrittenLater(revisionInEra(1, 15), 20, revisionInEra(1, 18)); // false: 15 may be of the copy
 * isWrittenLater(revisionInEra(1, 19), 20, revisionInEra(1, 18)); // true: the copy ends at 18 or before
 */
export const isWrittenLater = (shown: number, known: number, eraStart: number): boolean => {
  if (eraOf(shown) <= eraOf(known)) return shown > known;
  // What is above a known revision is later in the copy's history as well as in the new era.
  if (rawRevisionOf(shown) > rawRevisionOf(known)) return true;
  return eraOf(eraStart) === eraOf(shown) && shown > eraStart;
};
