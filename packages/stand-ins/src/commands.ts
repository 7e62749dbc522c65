import type { CommandModule } from 'yargs';
import { backendServerCommand } from './backend-server/command.js';
import { callGeneratorCommand, verifyCommand } from './call-generator/command.js';
import { faultProxyCommand } from './fault-proxy/command.js';
import { storeCommand } from './store/index.js';

/** Commands of the stand-ins; each runs as one process. */
export const commands = [
  backendServerCommand,
  callGeneratorCommand,
  verifyCommand,
  faultProxyCommand,
  storeCommand,
] as unknown as readonly CommandModule[];
