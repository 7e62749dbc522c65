import { readFile } from 'node:fs/promises';
import type { z } from 'zod';
import { readIniText } from './read-ini-text.js';
import { createRejectedError, type ConfigProblem, type Origin } from './problems.js';
import { describeExpectedKeys } from './section-validator.js';
import {
  settingsSchemas,
  settingsSections,
  type SettingsSection,
  type SettingsValues,
} from './settings-schema.js';

const environmentPrefix = 'SEQUOIAFIELD_';

/** Sources of the settings; the environment overrides the file, and `overrides` override both. */
export interface SettingsSources {
  /** INI file; without one, environment and overrides must give every required key. */
  readonly file?: string | undefined;
  /** Variables `SEQUOIAFIELD_<SECTION>_<KEY>`; others are ignored. */
  readonly env?: Readonly<Record<string, string | undefined>> | undefined;
  /** Values of flags by `section.key`, such as `node.gossip_port`. */
  readonly overrides?: Readonly<Record<string, string | undefined>> | undefined;
}

interface RawValue extends Origin {
  readonly value: string;
}

/** Collects the values of all sources and checks them section by section. */
export class SettingsReader {
  readonly #sources: SettingsSources;

  readonly #values = new Map<SettingsSection, Map<string, RawValue>>();

  readonly #problems: ConfigProblem[] = [];

  constructor(sources: SettingsSources) {
    this.#sources = sources;
    settingsSections.forEach((section) => this.#values.set(section, new Map()));
  }

  /** Reads the sources; later ones replace earlier values. */
  async collect(): Promise<void> {
    if (this.#sources.file !== undefined) await this.#collectFile(this.#sources.file);
    this.#collectEnvironment();
    this.#collectOverrides();
  }

  /** Whether any source gives a value in the section. */
  hasValues(section: SettingsSection): boolean {
    return (this.#values.get(section)?.size ?? 0) > 0;
  }

  /** Returns the unchecked text of a value, if any source gives it. */
  rawValue(section: SettingsSection, key: string): string | undefined {
    return this.#values.get(section)?.get(key)?.value;
  }

  /** Returns the typed values of a section; if it is invalid, reports why and returns undefined. */
  validateSection<S extends SettingsSection>(section: S): SettingsValues<S> | undefined {
    const values = this.#values.get(section) ?? new Map<string, RawValue>();
    const raw = Object.fromEntries([...values].map(([key, { value }]) => [key, value]));
    const schema = settingsSchemas[section];
    const result = schema.safeParse(raw);
    if (result.success) return result.data as SettingsValues<S>;
    const knownKeys = Object.keys(schema.shape);
    result.error.issues.forEach((issue) => this.#reportIssue(section, knownKeys, issue));
    return undefined;
  }

  /** Adds a problem with a value; without a source of the value, the problem refers to the file. */
  report(section: SettingsSection, key: string, found: string, expected: string): void {
    const origin = this.#values.get(section)?.get(key) ?? this.#fallbackOrigin();
    this.#problems.push({ file: origin.file, line: origin.line, found, expected });
  }

  /** Throws `ConfigRejectedError` if any problem is reported. */
  throwIfRejected(): void {
    if (this.#problems.length > 0) throw createRejectedError('the settings', this.#problems);
  }

  async #collectFile(file: string): Promise<void> {
    const text = await readFile(file, 'utf8').catch((error: Error) => {
      const found = `cannot be read (${error.message})`;
      throw createRejectedError('the settings', [
        { file, line: 0, found, expected: 'a readable INI file' },
      ]);
    });
    const { sections, problems } = readIniText(text, file);
    this.#problems.push(...problems);
    sections.forEach(({ title, line, keys }) => {
      const values = this.#values.get(title as SettingsSection);
      if (!values) {
        const expected = `one of [${settingsSections.join('], [')}]`;
        this.#problems.push({ file, line, found: `unknown section [${title}]`, expected });
        return;
      }
      keys.forEach((entry) => values.set(entry.key, entry));
    });
  }

  #collectEnvironment(): void {
    Object.entries(this.#sources.env ?? {}).forEach(([name, value]) => {
      if (value === undefined || !name.startsWith(environmentPrefix)) return;
      const sectionAndKey = name.slice(environmentPrefix.length).toLowerCase();
      const section = settingsSections.find((known) => sectionAndKey.startsWith(`${known}_`));
      if (!section) return;
      const key = sectionAndKey.slice(section.length + 1);
      this.#values.get(section)?.set(key, { file: `environment ${name}`, line: 0, value });
    });
  }

  #collectOverrides(): void {
    Object.entries(this.#sources.overrides ?? {}).forEach(([name, value]) => {
      if (value === undefined) return;
      const [section = '', key = ''] = name.split('.');
      const values = this.#values.get(section as SettingsSection);
      if (values) values.set(key, { file: `override ${name}`, line: 0, value });
      else {
        const expected = `SECTION.KEY with one of ${settingsSections.join(', ')}`;
        this.#problems.push({ file: 'overrides', line: 0, found: name, expected });
      }
    });
  }

  #fallbackOrigin(): Origin {
    return { file: this.#sources.file ?? 'settings', line: 0 };
  }

  #reportIssue(
    section: SettingsSection,
    knownKeys: readonly string[],
    issue: z.core.$ZodIssue,
  ): void {
    if (issue.code === 'unrecognized_keys') {
      issue.keys.forEach((key) => {
        const expected = describeExpectedKeys(key, knownKeys);
        this.report(section, key, `unknown key ${key} of [${section}]`, expected);
      });
      return;
    }
    const key = String(issue.path[0]);
    const value = this.rawValue(section, key);
    // Error messages end up in logs, where a token must not appear.
    const shownValue = key.endsWith('_token') ? 'not valid' : `"${value}"`;
    const found =
      value === undefined
        ? `[${section}] is missing key ${key}`
        : `${key} of [${section}] is ${shownValue}`;
    this.report(section, key, found, issue.message);
  }
}
