import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { commands } from './commands.js';

yargs(hideBin(process.argv))
  .scriptName('stand-ins')
  .command([...commands])
  .strict()
  .demandCommand(1)
  .parse();
