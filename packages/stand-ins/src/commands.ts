import type { CommandModule } from 'yargs';
import { backendServerCommand } from './backend-server/command.js';
import { callGeneratorCommand, verifyCommand } from './call-generator/command.js';

/** Commands of the stand-ins, one process each. */
export const commands: readonly CommandModule[] = [
  backendServerCommand as CommandModule,
  callGeneratorCommand as CommandModule,
  verifyCommand as CommandModule,
];
