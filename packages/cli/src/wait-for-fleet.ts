import type { CommandContext, CommandResult } from './command-context.js';
import { ExitStatus, statusOfError } from './exit-status.js';
import { FleetWaiter } from './fleet-waiter.js';
import { withAdmin, type AdminArguments } from './options.js';
import { ProgressLine } from './progress-line.js';

/** Convergence takes seconds; a minute covers a restart of many nodes at once. */
const inForceTimeoutMs = 60_000;
/** Time after `finish_by` within which the verdict on a move must be known. */
const moveGraceMs = 60_000;

/** What to wait for. */
export interface WaitTarget {
  readonly configVersion?: number | undefined;
  readonly moves: readonly { readonly id: string; readonly finishByUnixMs?: number }[];
}

interface WaitArguments extends AdminArguments {
  readonly 'timeout-s'?: number | undefined;
  readonly json: boolean;
}

const mergeResults = (results: readonly CommandResult[]): CommandResult => ({
  status: results.find(({ status }) => status !== ExitStatus.Success)?.status ?? ExitStatus.Success,
  data: Object.assign({}, ...results.map(({ data }) => data)) as CommandResult['data'],
  lines: results.flatMap(({ lines }) => lines),
});

/** Longest wait for the moves: the given one, or until shortly after the last one must be done. */
const moveTimeoutMs = (target: WaitTarget, givenMs: number | undefined): number => {
  if (givenMs !== undefined) return givenMs;
  const lastUnixMs = Math.max(...target.moves.map(({ finishByUnixMs }) => finishByUnixMs ?? 0));
  return Math.max(0, lastUnixMs - Date.now()) + moveGraceMs;
};

/**
 * Waits until a version is in force everywhere, then until its moves are done or taken back.
 * `--timeout-s` limits each of the two waits.
 *
 * @example
 * const result = await waitForFleet(context, args, { configVersion: 7, moves: [] });
 * @returns status `Failed` if the time was over, a move was taken back, or no node answered.
 */
export const waitForFleet = (
  context: CommandContext,
  args: WaitArguments,
  target: WaitTarget,
): Promise<CommandResult> => {
  const givenMs = args['timeout-s'] === undefined ? undefined : args['timeout-s'] * 1000;
  return withAdmin(context, args, async (admin) => {
    const waiter = new FleetWaiter(admin, new ProgressLine(context, args.json));
    const results: CommandResult[] = [];
    if (target.configVersion !== undefined) {
      results.push(
        await waiter.waitForActiveVersion(target.configVersion, givenMs ?? inForceTimeoutMs),
      );
    }
    if (target.moves.length > 0 && mergeResults(results).status === ExitStatus.Success) {
      const ids = target.moves.map(({ id }) => id);
      results.push(await waiter.waitForMoves(ids, moveTimeoutMs(target, givenMs)));
    }
    return mergeResults(results);
  }).catch((error: Error) => ({
    status: statusOfError(error),
    data: { error: error.message },
    lines: error.message.split('\n'),
  }));
};
