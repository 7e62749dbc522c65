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

const describeFailure = (part: string, error: Error): CommandResult => ({
  status: statusOfError(error),
  data: { [`${part}Error`]: error.message },
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

/** Version to ask the fleet about: the accepted one, else the one that the asked node has. */
const chooseVersion = (accepted: CommandResult, state: unknown): number => {
  const head = accepted.data.accepted as { readonly configVersion: number } | null | undefined;
  const own = (state as { readonly configVersion?: unknown } | null)?.configVersion;
  return head?.configVersion ?? (typeof own === 'number' ? own : 0);
};

const readFleet = async (admin: AdminClient, accepted: CommandResult): Promise<CommandResult> => {
  const state = await admin.fetchState();
  const configVersion = chooseVersion(accepted, state);
  const moves: readonly MoveStatus[] = await admin.fetchMoves();
  if (configVersion < 1) {
    const lines = ['No version is in force on the node', ...moves.map(formatMove)];
    return { status: ExitStatus.Success, data: { moves, node: state }, lines };
  }
  const inForce = await admin.fetchActiveVersion(configVersion);
  return {
    status: ExitStatus.Success,
    data: { configVersion, inForce, moves, node: state },
    lines: [
      `Version ${configVersion} is ${formatActiveVersion(inForce)}`,
      ...moves.map(formatMove),
    ],
  };
};

/** `status`: shows what is accepted, where it is in force, and how the moves stand. */
export const statusCommand: OperatorCommand<StatusArguments> = {
  command: 'status',
  describe: 'Show the accepted version, where it is in force, and the moves',
  builder: (yargs) => addAdminOptions(addStoreOptions(yargs)),
  run: async (args, context) => {
    if (!hasStore(context, args) && !hasAdmin(context, args)) {
      throw new UsageError('Nothing to ask; give --store URL, --admin URL or both');
    }
    const nothing: CommandResult = { status: ExitStatus.Success, data: {}, lines: [] };
    // Each side is shown even if the other does not answer: with the store down, the fleet's
    // state is what operators look for.
    const accepted = hasStore(context, args)
      ? await readAccepted(context, args).catch((error: Error) => describeFailure('store', error))
      : nothing;
    const fleet = hasAdmin(context, args)
      ? await withAdmin(context, args, (admin) => readFleet(admin, accepted)).catch(
          (error: Error) => describeFailure('admin', error),
        )
      : nothing;
    return {
      status: accepted.status === ExitStatus.Success ? fleet.status : accepted.status,
      data: { ...accepted.data, ...fleet.data },
      lines: [...accepted.lines, ...fleet.lines],
    };
  },
};
