import type { Configuration } from '@sequoiafield/types';
import type { LoadedFolder } from './load-folder.js';
import { formatOrigin, type Origin } from './problems.js';
import { renderConfiguration, type RenderedConfiguration } from './render-configuration.js';

/** One key that differs between two configurations. */
export interface KeyDifference {
  /** Title of the section, such as `service settlement`. */
  readonly section: string;
  readonly key: string;
  /** Value before, or undefined if the key is new. */
  readonly before: string | undefined;
  /** Value after, or undefined if the key is removed. */
  readonly after: string | undefined;
  /** File and line of the value after, if it comes from a folder. */
  readonly origin: Origin | undefined;
  /** Origins of the values in earlier files that this one overrides, latest first. */
  readonly overridden: readonly Origin[];
}

/** Finds the origin of a key by the section title that `renderConfiguration` gives it. */
const findOrigin = (
  folder: LoadedFolder | undefined,
  title: string,
  key: string,
): Pick<KeyDifference, 'origin' | 'overridden'> => {
  const service = /^objective of (.+)$/.exec(title)?.[1];
  const section = service
    ? [...(folder?.sections.values() ?? [])].find(
        ({ kind, keys }) => kind === 'objective' && keys.get('service')?.value === service,
      )
    : folder?.sections.get(title);
  const entry = section?.keys.get(key);
  if (!entry) return { origin: undefined, overridden: [] };
  return { origin: { file: entry.file, line: entry.line }, overridden: entry.overridden };
};

const listKeys = (
  title: string,
  before: RenderedConfiguration,
  after: RenderedConfiguration,
): readonly string[] => [
  ...new Set([...(before.get(title)?.keys() ?? []), ...(after.get(title)?.keys() ?? [])]),
];

/**
 * Lists the keys that differ, sorted by section. With the folder from which `after` was loaded,
 * each new value carries its file and line.
 *
 * @example
 * const differences = diffConfigurations(accepted, folder.configuration, folder);
 */
export const diffConfigurations = (
  before: Configuration | undefined,
  after: Configuration,
  folder?: LoadedFolder,
): readonly KeyDifference[] => {
  const renderedBefore: RenderedConfiguration = before ? renderConfiguration(before) : new Map();
  const renderedAfter = renderConfiguration(after);
  return [...new Set([...renderedBefore.keys(), ...renderedAfter.keys()])]
    .sort()
    .flatMap((section) =>
      listKeys(section, renderedBefore, renderedAfter).flatMap((key): KeyDifference[] => {
        const [valueBefore, valueAfter] = [
          renderedBefore.get(section)?.get(key),
          renderedAfter.get(section)?.get(key),
        ];
        if (valueBefore === valueAfter) return [];
        const originFields = findOrigin(folder, section, key);
        return [{ section, key, before: valueBefore, after: valueAfter, ...originFields }];
      }),
    );
};

/**
 * Formats one difference as a line: `+` new, `-` removed, `~` changed, with the origin at the end.
 *
 * @example
 * formatDifference(difference);
 * // '~ [service settlement] slots = 10 -> 12 (20-peak.ini:2, overrides 10-base.ini:4)'
 */
export const formatDifference = (difference: KeyDifference): string => {
  const { section, key, before, after, origin, overridden } = difference;
  const label = `[${section}] ${key}`;
  const overrides =
    overridden.length > 0 ? `, overrides ${overridden.map(formatOrigin).join(', ')}` : '';
  const source = origin ? ` (${formatOrigin(origin)}${overrides})` : '';
  if (before === undefined) return `+ ${label} = ${after}${source}`;
  if (after === undefined) return `- ${label} = ${before}`;
  return `~ ${label} = ${before} -> ${after}${source}`;
};
