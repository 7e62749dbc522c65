import type { CommandModule } from 'yargs';
import { StoreServer } from './store-server.js';

interface StoreArguments {
  address: string;
  port: number;
}

/** Command `store`: runs the store until SIGTERM or SIGINT and prints its URL as a JSON line. */
export const storeCommand: CommandModule<object, StoreArguments> = {
  command: 'store',
  describe: 'Run the stand-in for the key-value store',
  builder: (yargs) =>
    yargs
      .option('address', { type: 'string', default: '127.0.0.1', describe: 'IP to listen on' })
      .option('port', { type: 'number', default: 0, describe: 'Port; 0 selects a free port' }),
  handler: async ({ address, port }) => {
    const server = new StoreServer();
    const url = await server.listen(address, port);
    console.log(JSON.stringify({ url }));
    const stop = (): void => {
      server.close().then(
        () => process.exit(0),
        () => process.exit(1),
      );
    };
    process.once('SIGTERM', stop);
    process.once('SIGINT', stop);
  },
};
