import { ConfigRejectedError } from '@sequoiafield/config';
import yargs, { type Argv, type CommandModule } from 'yargs';
import type { CommandContext, CommandResult } from './command-context.js';
import { ExitStatus, statusOfError } from './exit-status.js';

/** An operator command: its options and its implementation. */
export interface OperatorCommand<T> {
  /** Name with positional arguments, in the form of `yargs`. */
  readonly command: string;
  readonly describe: string;
  builder(yargs: Argv): Argv<T>;
  run(args: T, context: CommandContext): Promise<CommandResult>;
}

const toErrorResult = (error: unknown): CommandResult => {
  const message = error instanceof Error ? error.message : String(error);
  const problems = error instanceof ConfigRejectedError ? { problems: error.problems } : {};
  return {
    status: statusOfError(error),
    data: { error: message, ...problems },
    lines: message.split('\n'),
  };
};

const printResult = (result: CommandResult, isJson: boolean, context: CommandContext): void => {
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
 * Parses the command line and runs the command that it names; commands that are not operator
 * commands keep their own handler.
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
          .catch((error: unknown) => toErrorResult(error));
        this.#status = result.status;
        printResult(result, args.json === true, this.#context);
      },
    });
    return this;
  }

  /** Adds a `yargs` command that writes its own output, such as one that runs until a signal. */
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
        .demandCommand(1, 'A command is missing; --help lists all commands')
        .exitProcess(false)
        .fail(false)
        .parseAsync();
    } catch (error) {
      // A failed operator command returns a result; an error here means an invalid command line.
      const result = { ...toErrorResult(error), status: ExitStatus.Rejected };
      this.#status = result.status;
      printResult(result, isJson, this.#context);
    }
    return this.#status;
  }
}
