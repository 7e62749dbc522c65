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
  /** Value after, or undefined if the key is gone. */
  readonly after: string | undefined;
  /** File and line of the value after, if it comes from a folder. */
  readonly origin: Origin | undefined;
  /** Places in earlier files whose value this one overrides, latest first. */
  readonly overridden: readonly Origin[];
}

/** Finds the origin of a key by the titles that `renderConfiguration` gives. */
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
 * Lists the keys that differ, sorted by section. With the folder of the configuration after, each
 * new value carries its file and line.
 *
 * @example
 * const differences = diffConfigurations(accepted, folder.configuration, folder);
 */
export const diffConfigurations = (
  before: Configuration | undefined,
  after: Configuration,
  folder?: LoadedFolder,
): readonly KeyDifference[] => {
  const old: RenderedConfiguration = before ? renderConfiguration(before) : new Map();
  const now = renderConfiguration(after);
  return [...new Set([...old.keys(), ...now.keys()])].sort().flatMap((section) =>
    listKeys(section, old, now).flatMap((key): KeyDifference[] => {
      const [valueBefore, valueAfter] = [old.get(section)?.get(key), now.get(section)?.get(key)];
      if (valueBefore === valueAfter) return [];
      const place = findOrigin(folder, section, key);
      return [{ section, key, before: valueBefore, after: valueAfter, ...place }];
    }),
  );
};

/**
 * Formats one difference as a line: `+` new, `-` gone, `~` changed, with the origin at the end.
 *
 * @example
 * formatDifference(difference);
 * // '~ [service settlement] slots = 10 -> 12 (20-peak.ini:2, overrides 10-base.ini:4)'
 */
export const formatDifference = (difference: KeyDifference): string => {
  const { section, key, before, after, origin, overridden } = difference;
  const place = `[${section}] ${key}`;
  const overrides =
    overridden.length > 0 ? `, overrides ${overridden.map(formatOrigin).join(', ')}` : '';
  const source = origin ? ` (${formatOrigin(origin)}${overrides})` : '';
  if (before === undefined) return `+ ${place} = ${after}${source}`;
  if (after === undefined) return `- ${place} = ${before}`;
  return `~ ${place} = ${before} -> ${after}${source}`;
};
