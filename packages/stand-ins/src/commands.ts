import type { CommandModule } from 'yargs';
import { faultProxyCommand } from './fault-proxy/command.js';

/** Commands of the stand-ins, one process each. */
export const commands = [faultProxyCommand] as unknown as readonly CommandModule[];
