import { hideBin } from 'yargs/helpers';
import { addOperatorCommands } from './commands/index.js';
import { ProcessContext } from './process-context.js';
import { CommandLine } from './run-cli.js';

// Commands that run as a process, such as `node`, are added here with `addPlain`.
const commandLine = addOperatorCommands(new CommandLine(new ProcessContext()));

commandLine.run(hideBin(process.argv)).then((status) => {
  process.exitCode = status;
});
