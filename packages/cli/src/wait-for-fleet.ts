import type { CommandContext, CommandResult } from './command-context.js';
import { ExitStatus, statusOfError } from './exit-status.js';
import { FleetWaiter } from './fleet-waiter.js';
import { withAdmin, type AdminArguments } from './options.js';
import { ProgressLine } from './progress-line.js';

/** Convergence takes seconds; a minute covers a restart of many nodes at once. */
const activeVersionTimeoutMs = 60_000;
/** Time after `finish_by` within which the verdict on a move must be known. */
const verdictGraceMs = 60_000;

/** Configuration version and moves to wait for. */
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

/** Timeout for the moves: the requested one, or until shortly after the last `finish_by`. */
const computeMoveTimeoutMs = (
  target: WaitTarget,
  requestedTimeoutMs: number | undefined,
): number => {
  if (requestedTimeoutMs !== undefined) return requestedTimeoutMs;
  const lastFinishByUnixMs = Math.max(
    ...target.moves.map(({ finishByUnixMs }) => finishByUnixMs ?? 0),
  );
  return Math.max(0, lastFinishByUnixMs - Date.now()) + verdictGraceMs;
};

/**
 * Waits until a version is active on every node, then until its moves are done or rolled back.
 * `--timeout-s` limits each of the two waits.
 *
 * @example
 * const result = await waitForFleet(context, args, { configVersion: 7, moves: [] });
 * @returns status `Failed` if a wait timed out, a move was rolled back, or no node answered.
 */
export const waitForFleet = (
  context: CommandContext,
  args: WaitArguments,
  target: WaitTarget,
): Promise<CommandResult> => {
  const requestedTimeoutMs = args['timeout-s'] === undefined ? undefined : args['timeout-s'] * 1000;
  return withAdmin(context, args, async (admin) => {
    const waiter = new FleetWaiter(admin, new ProgressLine(context, args.json));
    const results: CommandResult[] = [];
    if (target.configVersion !== undefined) {
      results.push(
        await waiter.waitForActiveVersion(
          target.configVersion,
          requestedTimeoutMs ?? activeVersionTimeoutMs,
        ),
      );
    }
    if (target.moves.length > 0 && mergeResults(results).status === ExitStatus.Success) {
      const ids = target.moves.map(({ id }) => id);
      results.push(
        await waiter.waitForMoves(ids, computeMoveTimeoutMs(target, requestedTimeoutMs)),
      );
    }
    return mergeResults(results);
  }).catch((error: Error) => ({
    status: statusOfError(error),
    data: { error: error.message },
    lines: error.message.split('\n'),
  }));
};
