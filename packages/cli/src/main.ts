import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

yargs(hideBin(process.argv))
  .scriptName('sequoiafield')
  .version('0.1.0')
  .strict()
  .demandCommand(1)
  .parse();
