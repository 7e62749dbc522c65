import type { CommandModule } from 'yargs';
import { faultProxyCommand } from './fault-proxy/command.js';
import { storeCommand } from './store/index.js';

/** Commands of the stand-ins, one process each. */
export const commands = [faultProxyCommand, storeCommand] as unknown as readonly CommandModule[];
