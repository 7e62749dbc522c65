import type { CommandModule } from 'yargs';
import { backendServerCommand } from './backend-server/command.js';
import { callGeneratorCommand, verifyCommand } from './call-generator/command.js';
import { faultProxyCommand } from './fault-proxy/command.js';
import { storeCommand } from './store/index.js';

/** Commands of the stand-ins, one process each. */
export const commands = [
  backendServerCommand,
  callGeneratorCommand,
  verifyCommand,
  faultProxyCommand,
  storeCommand,
] as unknown as readonly CommandModule[];
