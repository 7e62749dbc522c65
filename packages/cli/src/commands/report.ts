import { formatBurnHtml, formatBurnTable, summarizeBurn } from '@sequoiafield/burn';
import { ExitStatus } from '../exit-status.js';
import { addAdminOptions, withAdmin, type AdminArguments } from '../options.js';
import type { OperatorCommand } from '../command-line.js';

interface ReportArguments extends AdminArguments {
  readonly name: 'burn';
  readonly html: boolean;
}

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
    const answer = await withAdmin(context, args, (admin) => admin.fetchBurn());
    const report = summarizeBurn(answer);
    const text = args.html ? formatBurnHtml(report) : formatBurnTable(report);
    const isComplete = answer.total > 0 && answer.answered === answer.total;
    return {
      // A report without some of the nodes understates the burn, so it does not count as a success.
      status: isComplete ? ExitStatus.Success : ExitStatus.Failed,
      hasPartialOutput: true,
      data: { ...report },
      lines: text.trimEnd().split('\n'),
    };
  },
};
