import { loadNodeSettings } from '@sequoiafield/config';
import { JsonLogger } from '@sequoiafield/logger';
import { NodeProcess } from '@sequoiafield/node';
import type { CommandModule } from 'yargs';
import { ExitStatus, statusOfError, UsageError } from '../exit-status.js';

interface NodeArguments {
  readonly settings?: string;
  readonly set: readonly string[];
}

const readOverrides = (assignments: readonly string[]): Record<string, string> =>
  Object.fromEntries(
    assignments.map((text) => {
      const separatorIndex = text.indexOf('=');
      if (separatorIndex < 1) throw new UsageError(`--set ${text} must be section.key=value`);
      return [text.slice(0, separatorIndex), text.slice(separatorIndex + 1)];
    }),
  );

const runNode = async ({ settings: file, set }: NodeArguments): Promise<void> => {
  const settings = await loadNodeSettings({
    file,
    env: process.env,
    overrides: readOverrides(set),
  });
  const logger = new JsonLogger({ node: settings.node.id }, { level: settings.log.level });
  const node = await NodeProcess.create(settings, logger);
  const ports = await node.start();
  console.log(JSON.stringify({ id: settings.node.id, ...ports }));
  const onSignal = (): void => {
    // A second signal ends the process at once.
    process.once('SIGTERM', () => process.exit(ExitStatus.Failed));
    process.once('SIGINT', () => process.exit(ExitStatus.Failed));
    node.stop().then(
      () => process.exit(ExitStatus.Success),
      () => process.exit(ExitStatus.Failed),
    );
  };
  process.once('SIGTERM', onSignal);
  process.once('SIGINT', onSignal);
};

/** `node`: runs the process beside one backend server until SIGTERM. */
export const nodeCommand: CommandModule<object, NodeArguments> = {
  command: 'node',
  describe: 'Run the node process beside one backend server',
  builder: (yargs) =>
    yargs
      .option('settings', { type: 'string', describe: 'INI file with the settings' })
      .option('set', {
        type: 'string',
        array: true,
        default: [] as readonly string[],
        describe: 'Setting as section.key=value; goes before file and environment',
      }),
  handler: async (args) => {
    try {
      await runNode(args);
    } catch (error) {
      console.error(error instanceof Error ? error.message : String(error));
      process.exit(statusOfError(error));
    }
  },
};
