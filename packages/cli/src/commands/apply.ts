import { diffConfigurations, formatDifference, loadFolder } from '@sequoiafield/config';
import {
  AcceptConflictError,
  AcceptUnknownError,
  historyReadMaxEntries,
  type AcceptResult,
  type ConfigRepository,
} from '@sequoiafield/store';
import { routesSectionNames, type HeadRecord, type MoveIntent } from '@sequoiafield/types';
import { listChangedMoves } from '../changed-moves.js';
import type { CommandContext, CommandResult } from '../command-context.js';
import { ExitStatus, statusOfError } from '../exit-status.js';
import {
  addAdminOptions,
  addStoreOptions,
  requireAdminUrl,
  withStore,
  type AdminArguments,
  type StoreArguments,
} from '../options.js';
import type { OperatorCommand } from '../command-line.js';
import { waitForFleet } from '../wait-for-fleet.js';

interface ApplyArguments extends StoreArguments, AdminArguments {
  readonly folder: string;
  readonly wait: boolean;
  readonly 'timeout-s'?: number | undefined;
  readonly author?: string | undefined;
  readonly 'operation-id'?: string | undefined;
  readonly json: boolean;
}

interface AcceptOutcome {
  readonly result: AcceptResult;
  readonly moves: readonly MoveIntent[];
}

/** Reads the moves that the accepted version adds or modifies. */
const readChangedMoves = async (
  repository: ConfigRepository,
  result: AcceptResult,
): Promise<readonly MoveIntent[]> => {
  if (result.kind === 'unchanged') return [];
  const { head } = result;
  const before = await repository.readHistoryEntry(head.configVersion - 1);
  return listChangedMoves(await repository.readChange(before, head));
};

/** Describes what the other operator changed since the version on which this change is based. */
const describeConflict = async (
  repository: ConfigRepository,
  error: InstanceType<typeof AcceptConflictError>,
): Promise<CommandResult> => {
  const { currentHead, baseConfigVersion } = error;
  const readDifferences = async () => {
    if (!currentHead) return [];
    const base =
      baseConfigVersion > 0 ? await repository.readHistoryEntry(baseConfigVersion) : undefined;
    const { before, after } = await repository.readChange(base, currentHead);
    return diffConfigurations(before, after);
  };
  const differences = await readDifferences().catch(() => undefined);
  const differenceLines = differences?.map(formatDifference) ?? [
    'The change of the other operator could not be read',
  ];
  return {
    status: ExitStatus.Conflict,
    data: { error: error.message, baseConfigVersion, currentHead, differences },
    lines: [error.message, 'The change of the other operator:', ...differenceLines],
  };
};

const describeUnknown = (error: InstanceType<typeof AcceptUnknownError>): CommandResult => ({
  status: statusOfError(error),
  data: {
    error: error.message,
    operationId: error.operationId,
    configVersion: error.configVersion,
  },
  lines: error.message.split('\n'),
});

/**
 * Finds an operation among the last accepted versions. Without this check, an operator who repeats
 * an operation after another one was accepted would undo the change of the other.
 */
const findOperation = async (
  repository: ConfigRepository,
  operationId: string,
): Promise<HeadRecord | undefined> => {
  const history = await repository.readHistory(historyReadMaxEntries);
  return history.find((entry) => entry.operationId === operationId);
};

const describeRepeated = ({ operationId, configVersion }: HeadRecord): CommandResult => ({
  status: ExitStatus.Success,
  data: { isChanged: false, operationId, configVersion },
  lines: [
    `Operation ${operationId} was accepted before as version ${configVersion}; no change now`,
  ],
});

const describeAccepted = (result: AcceptResult): CommandResult => {
  const { configVersion, operationId, author } = result.head;
  if (result.kind === 'unchanged') {
    return {
      status: ExitStatus.Success,
      data: { isChanged: false, configVersion },
      lines: [`Nothing to change; version ${configVersion} is accepted already`],
    };
  }
  // Sections of the route index are derived from those of the services.
  const sections = result.changedSections.filter((name) => !routesSectionNames.includes(name));
  return {
    status: ExitStatus.Success,
    data: {
      isChanged: true,
      configVersion,
      operationId,
      author,
      changedSections: sections,
      isHistoryWritten: result.isHistoryWritten,
    },
    lines: [
      `Accepted version ${configVersion} (operation ${operationId}); changed sections: ${sections.join(', ')}`,
      ...(result.isHistoryWritten
        ? []
        : ['The history entry is not written yet; the next apply adds it']),
    ],
  };
};

const accept = async (
  args: ApplyArguments,
  context: CommandContext,
): Promise<AcceptOutcome | CommandResult> => {
  const { configuration } = await loadFolder(args.folder);
  const request = {
    configuration,
    author: args.author ?? context.userName(),
    operationId: args['operation-id'] ?? context.newOperationId(),
  };
  return withStore(context, args, async (repository) => {
    try {
      if (args['operation-id'] !== undefined) {
        const earlierEntry = await findOperation(repository, request.operationId);
        if (earlierEntry) return describeRepeated(earlierEntry);
      }
      const result = await repository.accept(request);
      // The configuration is accepted even if this fails; the next apply retires what remains.
      await repository.retireOldVersions(result.head).catch(() => 0);
      // If the store does not answer, the changed moves are unknown and none is waited for.
      const moves = args.wait ? await readChangedMoves(repository, result).catch(() => []) : [];
      return { result, moves };
    } catch (error) {
      if (error instanceof AcceptConflictError) return describeConflict(repository, error);
      if (error instanceof AcceptUnknownError) return describeUnknown(error);
      throw error;
    }
  });
};

/** `apply FOLDER`: makes a folder the accepted configuration. */
export const applyCommand: OperatorCommand<ApplyArguments> = {
  command: 'apply <folder>',
  describe: 'Accept a configuration folder as the next version',
  builder: (yargs) =>
    addAdminOptions(addStoreOptions(yargs))
      .positional('folder', { type: 'string', demandOption: true, describe: 'Folder' })
      .option('wait', {
        type: 'boolean',
        default: false,
        describe: 'Wait until it is in force on every node and its moves are decided',
      })
      .option('timeout-s', { type: 'number', describe: 'Longest wait in seconds' })
      .option('author', { type: 'string', describe: 'Name for the history (else the user)' })
      .option('operation-id', {
        type: 'string',
        describe: 'Id of this operation (else a new one); the same id is accepted only once',
      })
      .option('json', { type: 'boolean', default: false, describe: 'Print one JSON object' }),
  run: async (args, context) => {
    // Checked before anything is written, so that a missing --admin is not reported as a failure of
    // an accepted change.
    if (args.wait) requireAdminUrl(context, args);
    const outcome = await accept(args, context);
    if ('status' in outcome) return outcome;
    const acceptedResult = describeAccepted(outcome.result);
    if (!args.wait) return acceptedResult;
    const waitResult = await waitForFleet(context, args, {
      configVersion: outcome.result.head.configVersion,
      moves: outcome.moves,
    });
    return {
      status: waitResult.status,
      data: { ...acceptedResult.data, ...waitResult.data },
      lines: [...acceptedResult.lines, ...waitResult.lines],
    };
  },
};
