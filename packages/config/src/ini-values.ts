import { z } from 'zod';

/** Longest name of a service, route, data centre, move or backend version, in characters. */
const nameMaxLength = 63;
const namePattern = /^[a-z0-9][a-z0-9._-]*$/;
const versionPattern = /^[A-Za-z0-9][A-Za-z0-9._-]*$/;
const utcPattern = /^\d{4}-\d{2}-\d{2}T\d{2}:\d{2}:\d{2}(?:\.\d{3})?Z$/;
/** Printable ASCII without spaces, as a header can carry it. */
const keyPattern = /^[!-~]+$/;
const pathPattern = /^\/[^\s?#*]*\*?$/;

/** Description of a valid name, for messages. */
export const nameExpectation = `a name of a-z, 0-9, ".", "_" and "-" of at most ${nameMaxLength} characters`;

/**
 * Whether a text is a valid name of a service, route, data centre, region, move or instance.
 *
 * @example
 * isName('ath-1'); // true
 */
export const isName = (text: string): boolean =>
  text.length <= nameMaxLength && namePattern.test(text);

/**
 * Whether a text is a valid name of a backend version.
 *
 * @example
 * isVersionName('v2.1-RC1'); // true
 */
export const isVersionName = (text: string): boolean =>
  text.length <= nameMaxLength && versionPattern.test(text);

/**
 * Whether a text is a route path: `/` first, no query, `*` at most at the end.
 *
 * @example
 * isRoutePath('/tabs/:id/*'); // true
 */
export const isRoutePath = (text: string): boolean => pathPattern.test(text);

/**
 * Schema of an INI value that `parse` converts to a typed one; `parse` returns undefined to reject
 * the value.
 *
 * @example
 * iniValue('yes or no', (text) => ({ yes: true, no: false })[text]);
 */
export const iniValue = <T>(expected: string, parse: (text: string) => T | undefined) =>
  z.string({ error: expected }).transform((text, context): T => {
    const parsed = parse(text);
    if (parsed === undefined) context.addIssue({ code: 'custom', message: expected });
    return parsed as T;
  });

/**
 * Schema of a whole number in a unit; the value carries no unit, since its key does.
 *
 * @example
 * wholeNumber('ms', 1, 60_000).parse('250'); // 250
 */
export const wholeNumber = (unit: string, min: number, max: number) =>
  iniValue(
    `a whole number${unit === '' ? '' : ` of ${unit}`} from ${min} to ${max}, without a unit`,
    (text) => {
      const value = Number(text);
      return /^\d{1,15}$/.test(text) && value >= min && value <= max ? value : undefined;
    },
  );

/**
 * Schema of a percentage above `minExclusive` up to 100.
 *
 * @example
 * percentage(0).parse('99.9'); // 99.9
 */
export const percentage = (minExclusive: number) =>
  iniValue(`a percentage above ${minExclusive} up to 100, without a unit`, (text) => {
    const value = Number(text);
    return /^\d{1,3}(?:\.\d{1,6})?$/.test(text) && value > minExclusive && value <= 100
      ? value
      : undefined;
  });

/**
 * Schema of a percentage from 0 to 100.
 *
 * @example
 * percentageFromZero().parse('0'); // 0
 */
export const percentageFromZero = () =>
  iniValue('a percentage from 0 to 100, without a unit', (text) => {
    const value = Number(text);
    return /^\d{1,3}(?:\.\d{1,6})?$/.test(text) && value <= 100 ? value : undefined;
  });

/**
 * Schema of one of the keys of `choices`; the result is the value under that key.
 *
 * @example
 * oneOf({ in: DataCentreState.InService, out: DataCentreState.Evacuated }).parse('in');
 */
export const oneOf = <T>(choices: Readonly<Record<string, T>>) =>
  iniValue(`one of ${Object.keys(choices).join(', ')}`, (text) =>
    Object.hasOwn(choices, text) ? choices[text] : undefined,
  );

/**
 * Schema of a time in UTC (ISO 8601 with `Z`); the result is Unix ms.
 *
 * @example
 * utcTime().parse('2026-12-04T10:00:00Z'); // 1796378400000
 */
export const utcTime = () =>
  iniValue('a time in UTC such as 2026-12-04T10:00:00Z', (text) => {
    if (!utcPattern.test(text)) return undefined;
    const unixMs = Date.parse(text);
    // Date.parse turns 30 February into 2 March; only a time that reads back the same is valid.
    return Number.isFinite(unixMs) && new Date(unixMs).toISOString().startsWith(text.slice(0, 19))
      ? unixMs
      : undefined;
  });

/**
 * Schema of a name.
 *
 * @example
 * nameValue().parse('settlement');
 */
export const nameValue = () =>
  iniValue(nameExpectation, (text) => (isName(text) ? text : undefined));

/**
 * Schema of the keys of a client account, separated by commas; may be empty, which locks out the account.
 *
 * @example
 * keyList().parse('2f9c61d0e8, 77b0a3c4d5'); // ['2f9c61d0e8', '77b0a3c4d5']
 */
export const keyList = () =>
  iniValue('a list of keys of letters, digits and punctuation, separated by commas', (text) => {
    const keys = text.split(',').map((key) => key.trim());
    if (keys.length === 1 && keys[0] === '') return [];
    return keys.every((key) => keyPattern.test(key)) ? keys : undefined;
  });

/**
 * Schema of a backend version's name.
 *
 * @example
 * versionValue().parse('v2');
 */
export const versionValue = () =>
  iniValue(
    `a version name of letters, digits, ".", "_" and "-" of at most ${nameMaxLength} characters`,
    (text) => (isVersionName(text) ? text : undefined),
  );
