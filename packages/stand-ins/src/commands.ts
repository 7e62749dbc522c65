import type { CommandModule } from 'yargs';

/** Commands of the stand-ins, one process each. */
export const commands: readonly CommandModule[] = [];
