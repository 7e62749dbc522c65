import type { ServerResponse } from 'node:http';

/** How the work on a call ended. */
export enum WorkOutcome {
  Done = 'done',
  DeadlinePassed = 'deadline-passed',
  Cancelled = 'cancelled',
}

/**
 * Waits for the end of the work on a call, its deadline or its cancellation (a closed connection),
 * whichever comes first. An infinite duration or deadline never ends the wait.
 *
 * @example
 * const outcome = await waitForWork(12, 2000, reply.raw);
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
