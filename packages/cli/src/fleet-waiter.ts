import { monotonicNowMs } from '@sequoiafield/tables';
import { MoveVerdict, type FleetAnswer, type MoveStatus } from '@sequoiafield/types';
import type { AdminClient, ActiveVersionAnswer } from './admin-client.js';
import type { CommandResult } from './command-context.js';
import { ExitStatus } from './exit-status.js';
import type { ProgressLine } from './progress-line.js';

const pollIntervalMs = 500;
/** Names of nodes that one line lists. */
const listedIdsMax = 10;

const noAnswerYet: FleetAnswer<ActiveVersionAnswer> = {
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
 * Says in how many nodes a version is in force, with the ids of the others.
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
 * Says in one line how a move stands.
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

/** Waits until a version is in force on every node and moves have their verdicts. */
export class FleetWaiter {
  readonly #admin: AdminClient;

  readonly #progress: ProgressLine;

  constructor(admin: AdminClient, progress: ProgressLine) {
    this.#admin = admin;
    this.#progress = progress;
  }

  async waitForActiveVersion(configVersion: number, timeoutMs: number): Promise<CommandResult> {
    let answer: FleetAnswer<ActiveVersionAnswer> = noAnswerYet;
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
    const isTakenBack = statuses.some(({ verdict }) => verdict === MoveVerdict.RolledBack);
    const unknown = moveIds.filter((id) => !statuses.some(({ moveId }) => moveId === id));
    return {
      status: isDone && !isTakenBack ? ExitStatus.Success : ExitStatus.Failed,
      data: { moves: statuses, unknownMoves: unknown },
      lines: [
        ...statuses.map(formatMove),
        ...unknown.map((id) => `move ${id}: not known to the node`),
      ],
    };
  }

  /**
   * Repeats a step until it is true or the time is over. A question that fails is asked again; if
   * none was ever answered, the last failure is thrown.
   */
  async #poll(timeoutMs: number, step: () => Promise<boolean>): Promise<boolean> {
    const endsAtMs = monotonicNowMs() + timeoutMs;
    let hasAnswer = false;
    let lastError: unknown;
    try {
      do {
        try {
          if (await step()) return true;
          hasAnswer = true;
        } catch (error) {
          lastError = error;
        }
        await pause(Math.max(0, Math.min(pollIntervalMs, endsAtMs - monotonicNowMs())));
      } while (monotonicNowMs() < endsAtMs);
    } finally {
      this.#progress.clear();
    }
    if (!hasAnswer && lastError) throw lastError as Error;
    return false;
  }
}
