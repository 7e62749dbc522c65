import type { MoveStatus } from '@sequoiafield/types';
import type { AdminClient } from '../admin-client.js';
import type { CommandContext, CommandResult } from '../command-context.js';
import { ExitStatus, statusOfError, UsageError } from '../exit-status.js';
import { formatActiveVersion, formatMove } from '../fleet-waiter.js';
import {
  addAdminOptions,
  addStoreOptions,
  hasAdmin,
  hasStore,
  withAdmin,
  withStore,
  type AdminArguments,
  type StoreArguments,
} from '../options.js';
import type { OperatorCommand } from '../command-line.js';

type StatusArguments = StoreArguments & AdminArguments;

const describeFailure = (source: string, error: Error): CommandResult => ({
  status: statusOfError(error),
  data: { [`${source}Error`]: error.message },
  lines: error.message.split('\n'),
});

const readAccepted = async (
  context: CommandContext,
  args: StatusArguments,
): Promise<CommandResult> => {
  const head = await withStore(context, args, (repository) => repository.readHead());
  if (!head) {
    const lines = ['Nothing is accepted yet'];
    return { status: ExitStatus.Success, data: { accepted: null }, lines };
  }
  const { configVersion, acceptedAtUnixMs, author } = head.record;
  const time = new Date(acceptedAtUnixMs).toISOString();
  return {
    status: ExitStatus.Success,
    data: { accepted: head.record },
    lines: [`Version ${configVersion} was accepted at ${time} by ${author}`],
  };
};

/** Returns the version to query: the accepted one, or else the one that the queried node has. */
const chooseVersion = (accepted: CommandResult, state: unknown): number => {
  const head = accepted.data.accepted as { readonly configVersion: number } | null | undefined;
  const nodeVersion = (state as { readonly configVersion?: unknown } | null)?.configVersion;
  return head?.configVersion ?? (typeof nodeVersion === 'number' ? nodeVersion : 0);
};

const readFleet = async (admin: AdminClient, accepted: CommandResult): Promise<CommandResult> => {
  const state = await admin.fetchState();
  const configVersion = chooseVersion(accepted, state);
  const moves: readonly MoveStatus[] = await admin.fetchMoves();
  if (configVersion < 1) {
    const lines = ['No version is in force on the node', ...moves.map(formatMove)];
    return { status: ExitStatus.Success, data: { moves, node: state }, lines };
  }
  const activeVersionAnswer = await admin.fetchActiveVersion(configVersion);
  return {
    status: ExitStatus.Success,
    data: { configVersion, inForce: activeVersionAnswer, moves, node: state },
    lines: [
      `Version ${configVersion} is ${formatActiveVersion(activeVersionAnswer)}`,
      ...moves.map(formatMove),
    ],
  };
};

/** `status`: shows the accepted version, the nodes on which it is active, and the moves. */
export const statusCommand: OperatorCommand<StatusArguments> = {
  command: 'status',
  describe: 'Show the accepted version, where it is in force, and the moves',
  builder: (yargs) => addAdminOptions(addStoreOptions(yargs)),
  run: async (args, context) => {
    if (!hasStore(context, args) && !hasAdmin(context, args)) {
      throw new UsageError('No store or node is given; use --store URL, --admin URL or both');
    }
    const emptyResult: CommandResult = { status: ExitStatus.Success, data: {}, lines: [] };
    // The results of the store and of the fleet are shown independently: with the store down,
    // operators need the state of the fleet.
    const accepted = hasStore(context, args)
      ? await readAccepted(context, args).catch((error: Error) => describeFailure('store', error))
      : emptyResult;
    const fleet = hasAdmin(context, args)
      ? await withAdmin(context, args, (admin) => readFleet(admin, accepted)).catch(
          (error: Error) => describeFailure('admin', error),
        )
      : emptyResult;
    return {
      status: accepted.status === ExitStatus.Success ? fleet.status : accepted.status,
      data: { ...accepted.data, ...fleet.data },
      lines: [...accepted.lines, ...fleet.lines],
    };
  },
};
