import type { CommandModule } from 'yargs';
import { SeededRandom, wallNowUnixMs } from '@sequoiafield/tables';
import { Announcer } from './announcer.js';
import { BackendServer } from './backend-server.js';
import { defaultBehaviour, type BehaviourChange } from './behaviour.js';
import { Ledger } from './ledger.js';

interface BackendServerArguments {
  readonly address: string;
  readonly port: number;
  readonly id: string | undefined;
  readonly service: string;
  readonly backendVersion: string;
  readonly behaviour: string;
  readonly ledgerFile: string | undefined;
  readonly admin: string | undefined;
  readonly keepAliveMs: number;
  readonly seed: number;
}

const reportFailure = (error: unknown): void => {
  console.error(error);
  process.exitCode = 1;
};

const run = async (options: BackendServerArguments): Promise<void> => {
  const { service, backendVersion, address } = options;
  const serverId = options.id ?? `${service}-${backendVersion}-${process.pid}`;
  let announcer: Announcer | undefined;
  const server = new BackendServer(
    { serverId, service, backendVersion },
    defaultBehaviour,
    new Ledger(options.ledgerFile),
    new SeededRandom(options.seed),
    () => {
      announcer?.drain().catch(reportFailure);
    },
    options.keepAliveMs,
  );
  await server.changeBehaviour(JSON.parse(options.behaviour) as BehaviourChange);
  const port = await server.listen(address, options.port);
  console.log(JSON.stringify({ event: 'listening', serverId, address, port }));
  if (options.admin !== undefined) {
    announcer = new Announcer(options.admin, {
      ...{ service, version: backendVersion, address, port },
      startedAtUnixMs: wallNowUnixMs(),
    });
    announcer.run().catch(reportFailure);
  }
  const stop = async (): Promise<void> => {
    // The node is notified before this process exits.
    await announcer?.drain();
    await server.drain();
    await server.close();
    process.exit(0);
  };
  process.once('SIGTERM', () => {
    stop().catch(reportFailure);
  });
};

/** Command `backend-server`: runs one backend server. */
export const backendServerCommand: CommandModule<object, BackendServerArguments> = {
  command: 'backend-server',
  describe: 'Runs a backend server stand-in; prints one JSON line once it listens',
  builder: (yargs) =>
    yargs
      .option('address', { type: 'string', default: '127.0.0.1' })
      .option('port', { type: 'number', default: 0, describe: '0 for any free port' })
      .option('id', { type: 'string', describe: 'Id of the server, unique in a run' })
      .option('service', { type: 'string', demandOption: true })
      .option('backendVersion', { type: 'string', default: 'v1' })
      .option('behaviour', { type: 'string', default: '{}', describe: 'BehaviourChange as JSON' })
      .option('ledgerFile', { type: 'string', describe: 'File to which the ledger is appended' })
      .option('admin', { type: 'string', describe: 'Admin URL of the node to announce to' })
      .option('keepAliveMs', { type: 'number', default: 72_000 })
      .option('seed', { type: 'number', default: 1 }),
  handler: run,
};
