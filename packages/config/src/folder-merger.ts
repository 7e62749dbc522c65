import { sharedSectionNames } from '@sequoiafield/types';
import { sectionKinds, type SectionKind } from './folder-schema.js';
import type { IniKey, IniSection } from './read-ini-text.js';
import type { ConfigProblem, Origin } from './problems.js';
import { isName, nameExpectation } from './ini-values.js';

/** Value of a key after the merge, with the values of earlier files that it replaced. */
export interface MergedKey extends Origin {
  readonly key: string;
  readonly value: string;
  /** Origins of replaced values, latest first. */
  readonly overridden: readonly Origin[];
}

/** One section after the merge; its origin is where it first appears. */
export interface MergedSection extends Origin {
  readonly kind: SectionKind;
  readonly name: string;
  readonly keys: Map<string, MergedKey>;
}

/**
 * Place of a key after the merge, or of its section if the key is missing.
 *
 * @example
 * originOf(section, 'slots'); // { file: '20-peak.ini', line: 4 }
 */
export const originOf = (section: MergedSection, key: string): Origin =>
  section.keys.get(key) ?? section;

const readTitle = (title: string): { kind: SectionKind; name: string } | undefined => {
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

/** Merges the sections of files that are given in the order of their names. */
export class FolderMerger {
  /** Merged sections by title, in the order in which they first appear. */
  readonly sections = new Map<string, MergedSection>();

  readonly problems: ConfigProblem[] = [];

  add(section: IniSection): void {
    const { title, file, line } = section;
    const known = this.sections.get(title);
    if (known) {
      section.keys.forEach((key) => mergeKey(known.keys, key));
      return;
    }
    const head = readTitle(title);
    if (!head) {
      this.#report(section, `section [${title}]`, `[KIND NAME] with ${sectionKinds.join(', ')}`);
      return;
    }
    if (!isName(head.name)) {
      this.#report(section, `name "${head.name}" of [${title}]`, nameExpectation);
      return;
    }
    if (head.kind === 'service' && sharedSectionNames.includes(head.name)) {
      const found = `service name "${head.name}"`;
      this.#report(section, found, `another name; "${head.name}" names a shared section`);
      return;
    }
    const keys = new Map<string, MergedKey>();
    section.keys.forEach((key) => mergeKey(keys, key));
    this.sections.set(title, { ...head, file, line, keys });
  }

  #report({ file, line }: Origin, found: string, expected: string): void {
    this.problems.push({ file, line, found, expected });
  }
}
