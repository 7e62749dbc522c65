import { loadFolder } from '@sequoiafield/config';
import { ExitStatus } from '../exit-status.js';
import type { OperatorCommand } from '../command-line.js';

/** `validate FOLDER`: checks a configuration folder without the store. */
export const validateCommand: OperatorCommand<{ readonly folder: string }> = {
  command: 'validate <folder>',
  describe: 'Check a configuration folder',
  builder: (yargs) =>
    yargs.positional('folder', { type: 'string', demandOption: true, describe: 'Folder' }),
  run: async ({ folder }) => {
    const { configuration, fileNames } = await loadFolder(folder);
    const { mesh, services } = configuration;
    const moveCount = [...services.values()].reduce((sum, { moves }) => sum + moves.length, 0);
    const data = {
      files: fileNames.length,
      services: services.size,
      routes: mesh.routeIndex.length,
      dataCentres: mesh.dataCentres.length,
      accounts: mesh.accounts?.length ?? 0,
      moves: moveCount,
    };
    const counts = [
      `files ${data.files}`,
      `services ${data.services}`,
      `routes ${data.routes}`,
      `data centres ${data.dataCentres}`,
      ...(data.accounts > 0 ? [`accounts ${data.accounts}`] : []),
      `moves ${data.moves}`,
    ];
    return {
      status: ExitStatus.Success,
      data,
      lines: [`Configuration folder ${folder} is valid (${counts.join(', ')})`],
    };
  },
};
