import { ExitStatus } from '../exit-status.js';
import { addAdminOptions, withAdmin, type AdminArguments } from '../options.js';
import type { OperatorCommand } from '../run-cli.js';

interface ReportArguments extends AdminArguments {
  readonly name: 'burn';
  readonly html: boolean;
}

type BurnFormatter = (value: unknown) => string;

/** Formatter of package `burn`, or indented JSON while the package does not export it. */
const loadFormatter = async (
  name: 'formatBurnTable' | 'formatBurnHtml',
): Promise<BurnFormatter> => {
  const burn = (await import('@sequoiafield/burn')) as Readonly<Record<string, unknown>>;
  const formatter = burn[name];
  return typeof formatter === 'function'
    ? (formatter as BurnFormatter)
    : (value) => JSON.stringify(value, undefined, 2);
};

/** `report burn`: shows how fast the services spend their error budgets. */
export const reportCommand: OperatorCommand<ReportArguments> = {
  command: 'report <name>',
  describe: 'Show a report of the whole fleet',
  builder: (yargs) =>
    addAdminOptions(yargs)
      .positional('name', {
        choices: ['burn'] as const,
        demandOption: true,
        describe: 'burn: service-level objectives and how fast their budgets are spent',
      })
      .option('html', { type: 'boolean', default: false, describe: 'Print a page of HTML' }),
  run: async (args, context) => {
    const answer = await withAdmin(context, args, (admin) => admin.burn());
    const format = await loadFormatter(args.html ? 'formatBurnHtml' : 'formatBurnTable');
    const text = answer.value === undefined ? 'No node answered' : format(answer.value);
    const isComplete = answer.answered === answer.total && answer.value !== undefined;
    const missing = `${answer.answered} of ${answer.total} nodes answered`;
    return {
      // A report that lacks nodes understates the burn, so it does not count as a success.
      status: isComplete ? ExitStatus.Success : ExitStatus.Failed,
      hasPartialOutput: answer.value !== undefined,
      data: { ...answer },
      lines: [...text.trimEnd().split('\n'), ...(isComplete || args.html ? [] : [missing])],
    };
  },
};
