import type { CommandModule } from 'yargs';
import { hideBin } from 'yargs/helpers';
import { addOperatorCommands } from './commands/index.js';
import { nodeCommand } from './commands/node.js';
import { ProcessContext } from './process-context.js';
import { CommandLine } from './command-line.js';

const commandLine = addOperatorCommands(new CommandLine(new ProcessContext())).addYargsCommand(
  nodeCommand as CommandModule,
);

commandLine.run(hideBin(process.argv)).then((status) => {
  process.exitCode = status;
});
