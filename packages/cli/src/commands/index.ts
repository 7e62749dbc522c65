import type { CommandLine } from '../run-cli.js';
import { applyCommand } from './apply.js';
import { diffCommand } from './diff.js';
import { validateCommand } from './validate.js';

/**
 * Adds every operator command.
 *
 * @example
 * const status = await addOperatorCommands(new CommandLine(context)).run(['validate', 'conf']);
 */
export const addOperatorCommands = (commandLine: CommandLine): CommandLine =>
  commandLine.add(validateCommand).add(diffCommand).add(applyCommand);
