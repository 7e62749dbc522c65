import type { ServerResponse } from 'node:http';

/** How the work of a call ended. */
export enum WorkOutcome {
  Done = 'done',
  DeadlinePassed = 'deadline-passed',
  Cancelled = 'cancelled',
}

/**
 * Waits for the work of a call, its deadline or the caller's cancellation (a closed connection),
 * whichever is first. Infinite times never end.
 *
 * @example
 * const end = await waitForWork(12, 2000, reply.raw);
 */
export const waitForWork = (
  durationMs: number,
  deadlineMs: number,
  response: ServerResponse,
): Promise<WorkOutcome> =>
  new Promise((resolve) => {
    const waitMs = Math.min(durationMs, deadlineMs);
    let timer: NodeJS.Timeout | undefined;
    const onClose = (): void => {
      clearTimeout(timer);
      resolve(WorkOutcome.Cancelled);
    };
    response.once('close', onClose);
    if (!Number.isFinite(waitMs)) return;
    timer = setTimeout(() => {
      response.off('close', onClose);
      resolve(durationMs <= deadlineMs ? WorkOutcome.Done : WorkOutcome.DeadlinePassed);
    }, waitMs);
  });
