import { monotonicNowMs } from '@sequoiafield/tables';
import { MoveVerdict, type FleetAnswer, type MoveStatus } from '@sequoiafield/types';
import type { AdminClient, ActiveVersionAnswer } from './admin-client.js';
import type { CommandResult } from './command-context.js';
import { ExitStatus } from './exit-status.js';
import type { ProgressLine } from './progress-line.js';

const pollIntervalMs = 500;
/** Highest number of node ids that one line lists. */
const listedIdsMax = 10;

const emptyAnswer: FleetAnswer<ActiveVersionAnswer> = {
  answered: 0,
  total: 0,
  missingIds: [],
  value: undefined,
};

const pause = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

const listIds = (label: string, ids: readonly string[]): string => {
  if (ids.length === 0) return '';
  const rest = ids.length > listedIdsMax ? ` and ${ids.length - listedIdsMax} more` : '';
  return `; ${label}: ${ids.slice(0, listedIdsMax).join(', ')}${rest}`;
};

/**
 * Formats on how many nodes a version is active, with the ids of the others.
 *
 * @example
 * formatActiveVersion(answer); // 'in force on 58 of 60; lagging: n7; no answer from: n9'
 */
export const formatActiveVersion = (answer: FleetAnswer<ActiveVersionAnswer>): string => {
  const lagging = listIds('lagging', answer.value?.lagging ?? []);
  const missing = listIds('no answer from', answer.missingIds);
  return `in force on ${answer.value?.inForce ?? 0} of ${answer.total}${lagging}${missing}`;
};

/**
 * Formats the state of a move as one line.
 *
 * @example
 * formatMove(status); // 'move settlement-v2: taken back (failures on route settle)'
 */
export const formatMove = (status: MoveStatus): string => {
  const reason = status.reason === '' ? '' : ` (${status.reason})`;
  const share = `${status.sharePercent} % of traffic`;
  return status.verdict === MoveVerdict.Undecided
    ? `move ${status.moveId}: ${share}${reason}`
    : `move ${status.moveId}: ${status.verdict}${reason}`;
};

/** Waits until a version is active on every node, or until moves have their verdicts. */
export class FleetWaiter {
  readonly #admin: AdminClient;

  readonly #progress: ProgressLine;

  constructor(admin: AdminClient, progress: ProgressLine) {
    this.#admin = admin;
    this.#progress = progress;
  }

  async waitForActiveVersion(configVersion: number, timeoutMs: number): Promise<CommandResult> {
    let answer: FleetAnswer<ActiveVersionAnswer> = emptyAnswer;
    const isDone = await this.#poll(timeoutMs, async () => {
      answer = await this.#admin.fetchActiveVersion(configVersion);
      this.#progress.show(`version ${configVersion}: ${formatActiveVersion(answer)}`);
      return answer.total > 0 && answer.value?.inForce === answer.total;
    });
    return {
      status: isDone ? ExitStatus.Success : ExitStatus.Failed,
      data: {
        configVersion,
        nodes: answer.total,
        inForce: answer.value?.inForce ?? 0,
        lagging: answer.value?.lagging ?? [],
        missingIds: answer.missingIds,
      },
      lines: [`Version ${configVersion} is ${formatActiveVersion(answer)}`],
    };
  }

  async waitForMoves(moveIds: readonly string[], timeoutMs: number): Promise<CommandResult> {
    let statuses: readonly MoveStatus[] = [];
    const isDone = await this.#poll(timeoutMs, async () => {
      statuses = (await this.#admin.fetchMoves()).filter(({ moveId }) => moveIds.includes(moveId));
      this.#progress.show(statuses.map(formatMove).join('; '));
      const decided = statuses.filter(({ verdict }) => verdict !== MoveVerdict.Undecided);
      return (
        decided.length === moveIds.length ||
        decided.some(({ verdict }) => verdict === MoveVerdict.RolledBack)
      );
    });
    const isRolledBack = statuses.some(({ verdict }) => verdict === MoveVerdict.RolledBack);
    const unknownMoveIds = moveIds.filter((id) => !statuses.some(({ moveId }) => moveId === id));
    return {
      status: isDone && !isRolledBack ? ExitStatus.Success : ExitStatus.Failed,
      data: { moves: statuses, unknownMoves: unknownMoveIds },
      lines: [
        ...statuses.map(formatMove),
        ...unknownMoveIds.map((id) => `move ${id}: not known to the node`),
      ],
    };
  }

  /**
   * Repeats a check until it returns true or the timeout expires. A check that fails is repeated;
   * if every check failed, the last error is thrown.
   */
  async #poll(timeoutMs: number, check: () => Promise<boolean>): Promise<boolean> {
    const deadlineMs = monotonicNowMs() + timeoutMs;
    let hasCheckCompleted = false;
    let lastError: unknown;
    try {
      do {
        try {
          if (await check()) return true;
          hasCheckCompleted = true;
        } catch (error) {
          lastError = error;
        }
        await pause(Math.max(0, Math.min(pollIntervalMs, deadlineMs - monotonicNowMs())));
      } while (monotonicNowMs() < deadlineMs);
    } finally {
      this.#progress.clear();
    }
    if (!hasCheckCompleted && lastError) throw lastError as Error;
    return false;
  }
}
