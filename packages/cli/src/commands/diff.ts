import {
  buildManifest,
  diffConfigurations,
  formatDifference,
  loadFolder,
  toSections,
} from '@sequoiafield/config';
import { listChangedSections, type ConfigRepository } from '@sequoiafield/store';
import type { Configuration } from '@sequoiafield/types';
import { ExitStatus } from '../exit-status.js';
import { addStoreOptions, withStore, type StoreArguments } from '../options.js';
import type { OperatorCommand } from '../command-line.js';

interface DiffArguments extends StoreArguments {
  readonly folder: string;
  readonly against?: string | undefined;
}

interface Comparison {
  /** Name of the version or folder that the folder is compared with, for the output. */
  readonly baseName: string;
  readonly before: Configuration | undefined;
  /** Configuration of the folder, reduced to the sections that are compared. */
  readonly after: Configuration;
}

/** Reads the accepted sections that differ from those of the folder; equal ones are not fetched. */
const readAccepted = async (
  repository: ConfigRepository,
  after: Configuration,
): Promise<Comparison> => {
  const head = await repository.readHead();
  if (!head) return { baseName: 'nothing accepted yet', before: undefined, after };
  const { configVersion, manifestDigest } = head.record;
  const accepted = await repository.readManifest(manifestDigest);
  const { manifest } = buildManifest(configVersion, toSections(after));
  const changed = new Set(listChangedSections(accepted, manifest));
  // Section mesh is always compared: without its name, `readSections` returns an empty mesh.
  changed.add('mesh');
  const services = new Map([...after.services].filter(([name]) => changed.has(name)));
  return {
    baseName: `version ${configVersion}`,
    before: await repository.readSections(accepted, [...changed]),
    after: { mesh: after.mesh, services },
  };
};

/** `diff FOLDER`: compares a folder with the accepted configuration or with another folder. */
export const diffCommand: OperatorCommand<DiffArguments> = {
  command: 'diff <folder>',
  describe: 'Show what applying a folder would change, with the file of each value',
  builder: (yargs) =>
    addStoreOptions(yargs)
      .positional('folder', { type: 'string', demandOption: true, describe: 'Folder' })
      .option('against', {
        type: 'string',
        describe: 'Compare with this folder instead of the accepted configuration',
      }),
  run: async (args, context) => {
    const folder = await loadFolder(args.folder);
    const comparison: Comparison =
      args.against === undefined
        ? await withStore(context, args, (repository) =>
            readAccepted(repository, folder.configuration),
          )
        : {
            baseName: `folder ${args.against}`,
            before: (await loadFolder(args.against)).configuration,
            after: folder.configuration,
          };
    const differences = diffConfigurations(comparison.before, comparison.after, folder);
    const summary = `Keys that differ from ${comparison.baseName}: ${differences.length}`;
    return {
      status: ExitStatus.Success,
      data: { against: comparison.baseName, differences },
      lines: [...differences.map(formatDifference), summary],
    };
  },
};
