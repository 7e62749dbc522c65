import { sharedSectionNames } from '@sequoiafield/types';
import { sectionKinds, type SectionKind } from './folder-schema.js';
import type { IniKey, IniSection } from './read-ini-text.js';
import type { ConfigProblem, Origin } from './problems.js';
import { isName, nameExpectation } from './ini-values.js';

/** Value of a key after the merge, with the origins of the earlier values that it overrides. */
export interface MergedKey extends Origin {
  readonly key: string;
  readonly value: string;
  /** Origins of the overridden values, latest first. */
  readonly overridden: readonly Origin[];
}

/** One section after the merge; its origin is where it first appears. */
export interface MergedSection extends Origin {
  readonly kind: SectionKind;
  readonly name: string;
  readonly keys: Map<string, MergedKey>;
}

/**
 * Returns the origin of a key after the merge, or of its section if the key is missing.
 *
 * @example
 * originOf(section, 'slots'); // { file: '20-peak.ini', line: 4 }
 */
export const originOf = (section: MergedSection, key: string): Origin =>
  section.keys.get(key) ?? section;

const parseTitle = (title: string): { kind: SectionKind; name: string } | undefined => {
  const [kindText, name, ...rest] = title.split(' ');
  const kind = sectionKinds.find((known) => known === kindText);
  return kind && name !== undefined && rest.length === 0 ? { kind, name } : undefined;
};

const mergeKey = (keys: Map<string, MergedKey>, { key, value, file, line }: IniKey): void => {
  const earlier = keys.get(key);
  const overridden = earlier
    ? [{ file: earlier.file, line: earlier.line }, ...earlier.overridden]
    : [];
  keys.set(key, { key, value, file, line, overridden });
};

/** Merges the sections of files, which must be added in the order of the file names. */
export class FolderMerger {
  /** Merged sections by title, in the order in which they first appear. */
  readonly sections = new Map<string, MergedSection>();

  readonly problems: ConfigProblem[] = [];

  add(section: IniSection): void {
    const { title, file, line } = section;
    const existing = this.sections.get(title);
    if (existing) {
      section.keys.forEach((key) => mergeKey(existing.keys, key));
      return;
    }
    const parsedTitle = parseTitle(title);
    if (!parsedTitle) {
      this.#report(
        section,
        `section [${title}]`,
        `[KIND NAME] with KIND one of ${sectionKinds.join(', ')}`,
      );
      return;
    }
    if (!isName(parsedTitle.name)) {
      this.#report(section, `name "${parsedTitle.name}" of [${title}]`, nameExpectation);
      return;
    }
    if (parsedTitle.kind === 'service' && sharedSectionNames.includes(parsedTitle.name)) {
      const found = `service name "${parsedTitle.name}"`;
      this.#report(section, found, `another name; "${parsedTitle.name}" names a shared section`);
      return;
    }
    const keys = new Map<string, MergedKey>();
    section.keys.forEach((key) => mergeKey(keys, key));
    this.sections.set(title, { ...parsedTitle, file, line, keys });
  }

  #report({ file, line }: Origin, found: string, expected: string): void {
    this.problems.push({ file, line, found, expected });
  }
}
