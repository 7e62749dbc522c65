import { fork } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { moveCases } from './move-cases.js';
import type { MoveResult } from './run-move.js';

/** Processes that run moves; few, since the machine is shared. */
const workerCount = 4;

/** One move to run. */
export interface MoveJob {
  readonly caseIndex: number;
  readonly seed: number;
  readonly isBaseline: boolean;
}

const runWorker = (
  jobs: readonly MoveJob[],
  takeNextIndex: () => number | undefined,
  results: MoveResult[],
): Promise<void> =>
  new Promise((resolve, reject) => {
    const worker = fork(fileURLToPath(new URL('./worker.ts', import.meta.url)));
    let index: number | undefined;
    const runNext = (): void => {
      index = takeNextIndex();
      const job = index === undefined ? undefined : jobs[index];
      if (job) worker.send(job);
      else worker.disconnect();
    };
    worker.on('error', reject);
    worker.on('exit', (code) => {
      if (code === 0) resolve();
      else reject(new Error(`Worker of the benchmark "moves" exited with status ${code}`));
    });
    worker.on('message', (result: MoveResult) => {
      if (index !== undefined) Object.assign(results, { [index]: result });
      runNext();
    });
    runNext();
  });

/**
 * Runs moves in a few processes and returns their results in the order of the jobs. Rejects with
 * the first error of a process.
 *
 * @example
 * const results = await runJobs([{ caseIndex: 0, seed: 1, isBaseline: false }]);
 */
export const runJobs = async (jobs: readonly MoveJob[]): Promise<MoveResult[]> => {
  const results: MoveResult[] = [];
  const estimateCost = (index: number): number =>
    moveCases[jobs[index]?.caseIndex ?? -1]?.callsPerSecond ?? 0;
  // The longest moves start first, so that no process runs alone at the end.
  const order = jobs.map((_, index) => index).sort((a, b) => estimateCost(b) - estimateCost(a));
  const takeNextIndex = (): number | undefined => order.shift();
  await Promise.all(
    Array.from({ length: workerCount }, () => runWorker(jobs, takeNextIndex, results)),
  );
  return results;
};
