import type { HeadRecord } from '@sequoiafield/types';
import { ExitStatus } from '../exit-status.js';
import { addStoreOptions, withStore, type StoreArguments } from '../options.js';
import type { OperatorCommand } from '../command-line.js';

interface HistoryArguments extends StoreArguments {
  readonly limit: number;
  readonly 'operation-id'?: string | undefined;
}

const defaultEntryCount = 20;

const formatEntry = (entry: HeadRecord): string =>
  [
    `version ${entry.configVersion}`,
    new Date(entry.acceptedAtUnixMs).toISOString(),
    entry.author,
    `operation ${entry.operationId}`,
  ].join('  ');

/** `history`: lists accepted versions, or reports whether an operation was accepted. */
export const historyCommand: OperatorCommand<HistoryArguments> = {
  command: 'history',
  describe: 'List the accepted versions, newest first',
  builder: (yargs) =>
    addStoreOptions(yargs)
      .option('limit', {
        type: 'number',
        default: defaultEntryCount,
        describe: 'Versions, at most 100',
      })
      .option('operation-id', {
        type: 'string',
        describe: 'Say whether this operation was accepted; status 1 if not in these versions',
      }),
  run: async (args, context) => {
    const entries = await withStore(context, args, (repository) =>
      repository.readHistory(args.limit),
    );
    const operationId = args['operation-id'];
    if (operationId === undefined) {
      const lines = entries.length > 0 ? entries.map(formatEntry) : ['Nothing is accepted yet'];
      return { status: ExitStatus.Success, data: { entries }, lines };
    }
    const acceptedEntry = entries.find((entry) => entry.operationId === operationId);
    if (acceptedEntry) {
      const line = `Accepted: ${formatEntry(acceptedEntry)}`;
      return {
        status: ExitStatus.Success,
        data: { isAccepted: true, entry: acceptedEntry },
        lines: [line],
      };
    }
    const newest = entries[0]?.configVersion ?? 0;
    const line =
      `Operation ${operationId} is not among the last ${entries.length} versions; ` +
      `the newest is version ${newest}`;
    return {
      status: ExitStatus.Failed,
      data: { isAccepted: false, newestConfigVersion: newest, searched: entries.length },
      lines: [line],
    };
  },
};
