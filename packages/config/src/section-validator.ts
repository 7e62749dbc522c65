import type { z } from 'zod';
import { sectionSchemas, type SectionKind, type SectionValues } from './folder-schema.js';
import { originOf, type MergedSection } from './folder-merger.js';
import type { ConfigProblem } from './problems.js';

/** A merged section with its typed values. */
export interface TypedSection<K extends SectionKind> {
  readonly merged: MergedSection;
  readonly name: string;
  readonly values: SectionValues<K>;
}

/** All typed sections of a folder by kind, sorted by name. */
export type TypedSections = { readonly [K in SectionKind]: readonly TypedSection<K>[] };

/** Keys of sections whose values are not printed. */
const secretKeys: ReadonlySet<string> = new Set(['keys']);
const unitPattern = /_(ms|s|m|h|d|percent|bytes)$/;

/**
 * Describes the keys expected in place of an unknown one: a known key that differs only in its
 * unit, since a wrong unit is then the likely mistake, or else all known keys.
 *
 * @example
 * describeExpectedKeys('latency_limit_s', ['slots', 'latency_limit_ms']);
 * // 'latency_limit_ms (wrong unit)'
 */
export const describeExpectedKeys = (key: string, knownKeys: readonly string[]): string => {
  const keyWithoutUnit = key.replace(unitPattern, '');
  const keyWithOtherUnit = knownKeys.find(
    (known) => known.replace(unitPattern, '') === keyWithoutUnit,
  );
  return keyWithOtherUnit ? `${keyWithOtherUnit} (wrong unit)` : `one of ${knownKeys.join(', ')}`;
};

/** Converts one issue of a schema into problems with file and line. */
const toProblems = (
  section: MergedSection,
  knownKeys: readonly string[],
  issue: z.core.$ZodIssue,
): ConfigProblem[] => {
  const title = `[${section.kind} ${section.name}]`;
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({
      file: originOf(section, key).file,
      line: originOf(section, key).line,
      found: `unknown key ${key} of ${title}`,
      expected: describeExpectedKeys(key, knownKeys),
    }));
  }
  const key = String(issue.path[0]);
  const { file, line } = originOf(section, key);
  const value = section.keys.get(key)?.value;
  const found = secretKeys.has(key)
    ? `${key} of ${title} has a value that cannot be used`
    : `${key} of ${title} is "${value}"`;
  const missing = `${title} is missing key ${key}`;
  return [{ file, line, found: value === undefined ? missing : found, expected: issue.message }];
};

/** Checks every merged section against the schema of its kind. */
export class SectionValidator {
  readonly problems: ConfigProblem[] = [];

  /** Returns the typed sections of one kind; a section with a problem is left out. */
  validateKind<K extends SectionKind>(
    kind: K,
    sections: Iterable<MergedSection>,
  ): readonly TypedSection<K>[] {
    const schema = sectionSchemas[kind];
    const knownKeys = Object.keys(schema.shape);
    const typed: TypedSection<K>[] = [];
    for (const merged of sections) {
      if (merged.kind !== kind) continue;
      const raw = Object.fromEntries([...merged.keys].map(([key, { value }]) => [key, value]));
      const result = schema.safeParse(raw);
      if (result.success) {
        typed.push({ merged, name: merged.name, values: result.data as SectionValues<K> });
      } else {
        this.problems.push(
          ...result.error.issues.flatMap((issue) => toProblems(merged, knownKeys, issue)),
        );
      }
    }
    return typed.sort((left, right) => (left.name < right.name ? -1 : 1));
  }
}
