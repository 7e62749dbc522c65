import { createHash } from 'node:crypto';

const sortKeys = (_key: string, value: unknown): unknown => {
  if (value === null || typeof value !== 'object' || Array.isArray(value)) return value;
  return Object.fromEntries(
    Object.entries(value).sort(([left], [right]) => (left < right ? -1 : 1)),
  );
};

/**
 * JSON with the keys of every object in code-unit order and no white space, so that equal data
 * has one text and one digest.
 *
 * @example
 * toCanonicalJson({ b: 1, a: 2 }); // '{"a":2,"b":1}'
 */
export const toCanonicalJson = (value: unknown): string => JSON.stringify(value, sortKeys);

/**
 * SHA-256 of a UTF-8 text, in lower-case hex.
 *
 * @example
 * sha256Hex(body) === manifest.sections.settlement;
 */
export const sha256Hex = (text: string): string =>
  createHash('sha256').update(text, 'utf8').digest('hex');
