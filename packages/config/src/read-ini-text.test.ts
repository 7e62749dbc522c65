import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { parse } from 'ini';
import { readIniText } from './read-ini-text.js';

test('values are the same as with the ini library and keep their line numbers', () => {
  // Guards against a line reader that decodes a value differently from the library.
  const value = fc.string({ unit: fc.constantFrom(...'ab1 ;#"\'=\\[]'), maxLength: 8 });
  const property = fc.property(fc.array(value, { minLength: 1, maxLength: 6 }), (values) => {
    const lines = values.map((text, index) => `key${index} = ${text}`);
    const text = ['# comment', '', '[section one]', ...lines].join('\r\n');
    const expected = (parse(text)['section one'] ?? {}) as Record<string, unknown>;
    const { sections, problems } = readIniText(text, 'a.ini');
    const keys = sections[0]?.keys ?? [];
    assert.deepEqual(problems, []);
    assert.deepEqual(Object.fromEntries(keys.map((key) => [key.key, key.value])), { ...expected });
    assert.deepEqual(
      keys.map(({ line }) => line),
      values.map((_, index) => index + 4),
    );
  });
  fc.assert(property, { numRuns: 500, seed: 20_261_204 });
});
