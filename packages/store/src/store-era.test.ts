import assert from 'node:assert/strict';
import { test } from 'node:test';
import { eraOf, isWrittenLater, rawRevisionOf, revisionInEra } from './index.js';

test('a revision of a later era is greater, and exact up to the limit of the numbers', () => {
  // Guards against revisions that are given a second time and count as the first ones.
  assert.ok(revisionInEra(1, 1) > revisionInEra(0, 2 ** 32 - 1));
  const last = revisionInEra(2 ** 21 - 1, 2 ** 32 - 1);
  assert.equal(last, Number.MAX_SAFE_INTEGER);
  assert.deepEqual([eraOf(last), rawRevisionOf(last)], [2 ** 21 - 1, 2 ** 32 - 1]);
  assert.deepEqual([eraOf(412), rawRevisionOf(412)], [0, 412]);
});

test('what may belong to the copy is later only in the shared history', () => {
  // Guards against an entry of the copy that replaces a newer one, and against a new one ignored.
  const eraStart = revisionInEra(1, 18);
  const shown = (raw: number, known: number): boolean =>
    isWrittenLater(revisionInEra(1, raw), known, eraStart);
  assert.equal(shown(15, 20), false);
  assert.equal(shown(18, 20), false);
  assert.equal(shown(19, 20), true);
  assert.equal(shown(15, 12), true);
  assert.equal(isWrittenLater(revisionInEra(1, 19), 20, 0), false, 'the start is not known');
  assert.equal(isWrittenLater(21, 20, 0), true);
});
