import { ConfigRejectedError } from '@sequoiafield/config';
import yargs, { type Argv, type CommandModule } from 'yargs';
import type { CommandContext, CommandResult } from './command-context.js';
import { ExitStatus, statusOfError } from './exit-status.js';

/** An operator command: its options and what it does. */
export interface OperatorCommand<T> {
  /** Name with positional arguments, in the form of `yargs`. */
  readonly command: string;
  readonly describe: string;
  builder(yargs: Argv): Argv<T>;
  run(args: T, context: CommandContext): Promise<CommandResult>;
}

const describeError = (error: unknown): CommandResult => {
  const message = error instanceof Error ? error.message : String(error);
  const problems = error instanceof ConfigRejectedError ? { problems: error.problems } : {};
  return {
    status: statusOfError(error),
    data: { error: message, ...problems },
    lines: message.split('\n'),
  };
};

const print = (result: CommandResult, isJson: boolean, context: CommandContext): void => {
  if (isJson) {
    const object = {
      isSuccess: result.status === ExitStatus.Success,
      exitStatus: result.status,
      ...result.data,
    };
    context.writeOut(`${JSON.stringify(object)}\n`);
    return;
  }
  const text = result.lines.map((line) => `${line}\n`).join('');
  if (result.status === ExitStatus.Success || result.hasPartialOutput) context.writeOut(text);
  else context.writeError(text);
};

/**
 * Runs the command line; commands that are not operator commands keep their own handler.
 *
 * @example
 * const commandLine = new CommandLine(new ProcessContext()).add(validateCommand);
 * process.exitCode = await commandLine.run(hideBin(process.argv));
 */
export class CommandLine {
  readonly #context: CommandContext;

  readonly #commands: CommandModule[] = [];

  #status = ExitStatus.Success;

  constructor(context: CommandContext) {
    this.#context = context;
  }

  /** Adds an operator command. */
  add<T>(command: OperatorCommand<T>): this {
    this.#commands.push({
      command: command.command,
      describe: command.describe,
      builder: (argv) => command.builder(argv),
      handler: async (args) => {
        const result = await command
          .run(args as unknown as T, this.#context)
          .catch((error: unknown) => describeError(error));
        this.#status = result.status;
        print(result, args.json === true, this.#context);
      },
    });
    return this;
  }

  /** Adds a command that prints for itself, such as one that runs until a signal. */
  addYargsCommand(command: CommandModule): this {
    this.#commands.push(command);
    return this;
  }

  /**
   * Parses and runs the arguments.
   *
   * @example
   * process.exitCode = await new CommandLine(context).add(validateCommand).run(['validate', 'conf']);
   */
  async run(args: readonly string[]): Promise<ExitStatus> {
    const isJson = args.includes('--json');
    try {
      await yargs([...args])
        .scriptName('sequoiafield')
        .version('0.1.0')
        .option('json', { type: 'boolean', default: false, describe: 'Print one JSON object' })
        .command(this.#commands)
        .strict()
        .demandCommand(1, 'Name a command; --help lists them')
        .exitProcess(false)
        .fail(false)
        .parseAsync();
    } catch (error) {
      // Commands report their own failures; what is thrown here is a wrong command line.
      const result = { ...describeError(error), status: ExitStatus.Rejected };
      this.#status = result.status;
      print(result, isJson, this.#context);
    }
    return this.#status;
  }
}
