import { unsafe as decodeIniValue } from 'ini';
import type { ConfigProblem, Origin } from './problems.js';

/** One `key = value` line of an INI file. */
export interface IniKey extends Origin {
  readonly key: string;
  readonly value: string;
}

/** One section of one INI file with its keys in the order of their lines. */
export interface IniSection extends Origin {
  /** Text between the brackets with single spaces, such as `service settlement`. */
  readonly title: string;
  readonly keys: readonly IniKey[];
}

/** Sections of one INI file, and the syntax problems found in it. */
export interface IniFile {
  readonly sections: readonly IniSection[];
  readonly problems: readonly ConfigProblem[];
}

const headerPattern = /^\[([^\]]*)\]\s*(?:[;#].*)?$/;
const keyPattern = /^([^=]+)=(.*)$/;

interface OpenSection extends Origin {
  readonly title: string;
  readonly keys: IniKey[];
}

class IniLineParser {
  readonly sections: OpenSection[] = [];

  readonly problems: ConfigProblem[] = [];

  readonly #file: string;

  #currentSection: OpenSection | undefined;

  constructor(file: string) {
    this.#file = file;
  }

  parseLine(text: string, line: number): void {
    const header = headerPattern.exec(text);
    if (header) {
      this.#openSection(header[1] ?? '', line);
      return;
    }
    const pair = keyPattern.exec(text);
    if (!pair || text.startsWith('[')) {
      this.#report(line, `line "${text}"`, '[section], key = value, or a comment');
      return;
    }
    this.#addKey({
      key: decodeIniValue(pair[1] ?? ''),
      value: String(decodeIniValue(pair[2] ?? '')),
      file: this.#file,
      line,
    });
  }

  #openSection(rawTitle: string, line: number): void {
    const title = rawTitle.trim().replace(/\s+/g, ' ');
    const earlier = this.sections.find((section) => section.title === title);
    if (earlier) {
      this.#report(
        line,
        `section [${title}] is already defined at line ${earlier.line}`,
        'each section once in a file',
      );
    }
    this.#currentSection = { title, keys: [], file: this.#file, line };
    // The keys of a repeated section are discarded; the repetition itself is the reported problem.
    if (!earlier) this.sections.push(this.#currentSection);
  }

  #addKey(entry: IniKey): void {
    if (!this.#currentSection) {
      this.#report(entry.line, `key ${entry.key} is outside a section`, 'a [section] line first');
      return;
    }
    const earlier = this.#currentSection.keys.find(({ key }) => key === entry.key);
    if (earlier) {
      this.#report(
        entry.line,
        `key ${entry.key} of [${this.#currentSection.title}] is already set at line ${earlier.line}`,
        'each key once in a section of a file',
      );
      return;
    }
    this.#currentSection.keys.push(entry);
  }

  #report(line: number, found: string, expected: string): void {
    this.problems.push({ file: this.#file, line, found, expected });
  }
}

/**
 * Reads INI text and records the file and line of every section and key. Values are decoded by
 * `ini` (quotes, escapes and trailing comments); a `#` or `;` inside a value needs quotes.
 *
 * @example
 * readIniText('[service a]\nslots = 10 ; each', 'a.ini').sections[0]?.keys[0]?.value; // '10'
 */
export const readIniText = (text: string, file: string): IniFile => {
  const parser = new IniLineParser(file);
  text
    .replace(/^\uFEFF/, '')
    .split(/\r\n|\n|\r/)
    .forEach((rawLine, index) => {
      const line = rawLine.trim();
      if (line !== '' && !line.startsWith(';') && !line.startsWith('#')) {
        parser.parseLine(line, index + 1);
      }
    });
  return { sections: parser.sections, problems: parser.problems };
};
