import type { CommandLine } from '../command-line.js';
import { applyCommand } from './apply.js';
import { diffCommand } from './diff.js';
import { explainCommand } from './explain.js';
import { historyCommand } from './history.js';
import { reportCommand } from './report.js';
import { statusCommand } from './status.js';
import { validateCommand } from './validate.js';
import { waitCommand } from './wait.js';

/**
 * Adds every operator command.
 *
 * @example
 * const status = await addOperatorCommands(new CommandLine(context)).run(['validate', 'conf']);
 */
export const addOperatorCommands = (commandLine: CommandLine): CommandLine =>
  commandLine
    .add(validateCommand)
    .add(diffCommand)
    .add(applyCommand)
    .add(statusCommand)
    .add(historyCommand)
    .add(waitCommand)
    .add(reportCommand)
    .add(explainCommand);
