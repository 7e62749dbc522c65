export type { CommandContext, CommandResult, StoreConnection } from './command-context.js';
export { addOperatorCommands } from './commands/index.js';
export { ExitStatus, statusOfError } from './exit-status.js';
export { CommandLine, type OperatorCommand } from './command-line.js';
