import { readdir, readFile } from 'node:fs/promises';
import { join } from 'node:path';
import type { Configuration } from '@sequoiafield/types';
import { buildConfiguration } from './build-configuration.js';
import { checkAcrossSections } from './check-across-sections.js';
import { readIniText } from './read-ini-text.js';
import { FolderMerger, type MergedSection } from './folder-merger.js';
import { createRejectedError, type ConfigProblem } from './problems.js';
import { SectionValidator, type TypedSections } from './section-validator.js';

/** Name and text of one file of a configuration folder. */
export interface FolderFile {
  readonly name: string;
  readonly text: string;
}

/** A checked folder: the configuration and the origin of each value. */
export interface LoadedFolder {
  readonly configuration: Configuration;
  /** Merged sections by title such as `service settlement`. */
  readonly sections: ReadonlyMap<string, MergedSection>;
  readonly fileNames: readonly string[];
}

const validateSections = (
  sections: ReadonlyMap<string, MergedSection>,
  problems: ConfigProblem[],
): TypedSections => {
  const validator = new SectionValidator();
  const typed = {
    service: validator.validateKind('service', sections.values()),
    route: validator.validateKind('route', sections.values()),
    'data-centre': validator.validateKind('data-centre', sections.values()),
    move: validator.validateKind('move', sections.values()),
    account: validator.validateKind('account', sections.values()),
    objective: validator.validateKind('objective', sections.values()),
  };
  problems.push(...validator.problems);
  return typed;
};

/**
 * Merges and checks files that are already read; files with later names override earlier ones.
 *
 * @example
 * const { configuration } = parseFolderFiles('conf', [{ name: '10-base.ini', text }]);
 * @throws ConfigRejectedError with every problem found, not only the first.
 */
export const parseFolderFiles = (folder: string, files: readonly FolderFile[]): LoadedFolder => {
  const sortedFiles = [...files].sort((left, right) => (left.name < right.name ? -1 : 1));
  const merger = new FolderMerger();
  const problems: ConfigProblem[] = [];
  sortedFiles.forEach(({ name, text }) => {
    const file = readIniText(text, name);
    problems.push(...file.problems);
    file.sections.forEach((section) => merger.add(section));
  });
  problems.push(...merger.problems);
  if (merger.sections.size === 0 && problems.length === 0) {
    // An empty folder is far more often a wrong path than a request to remove every service.
    const expected = 'a folder with at least one section in a *.ini file';
    problems.push({ file: folder, line: 0, found: 'no section', expected });
  }
  const typed = validateSections(merger.sections, problems);
  problems.push(...checkAcrossSections(typed, merger.sections.values()));
  if (problems.length > 0) throw createRejectedError(`configuration folder ${folder}`, problems);
  return {
    configuration: buildConfiguration(typed),
    sections: merger.sections,
    fileNames: sortedFiles.map(({ name }) => name),
  };
};

/**
 * Reads, merges and checks the `*.ini` files of a folder in the order of their names (by code
 * unit, independent of the locale). Other files and subfolders are ignored.
 *
 * @example
 * const { configuration } = await loadFolder('./conf');
 * @throws ConfigRejectedError with file, line and what was expected for every problem.
 */
export const loadFolder = async (folder: string): Promise<LoadedFolder> => {
  const readFiles = async (): Promise<FolderFile[]> => {
    const entries = await readdir(folder, { withFileTypes: true });
    const names = entries
      .filter((entry) => !entry.isDirectory() && entry.name.endsWith('.ini'))
      .map((entry) => entry.name);
    return Promise.all(
      names.map(async (name) => ({ name, text: await readFile(join(folder, name), 'utf8') })),
    );
  };
  const files = await readFiles().catch((error: Error) => {
    const found = `cannot be read (${error.message})`;
    throw createRejectedError(`configuration folder ${folder}`, [
      { file: folder, line: 0, found, expected: 'a readable folder' },
    ]);
  });
  return parseFolderFiles(folder, files);
};
