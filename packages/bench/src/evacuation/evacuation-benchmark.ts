import { Priority } from '@sequoiafield/types';
import type { Benchmark, BenchmarkOptions, BenchmarkReport } from '../benchmark.js';
import { EvacuationRun, type EvacuationResult, type EvacuationTimeline } from './evacuation-run.js';
import { baselinePolicy, productPolicy } from './traffic-policies.js';
import type { TrafficPolicy } from './traffic-policy.js';
import { userWorkloads, type UserWorkload } from './user-workloads.js';

const timeline: EvacuationTimeline = {
  measureFromMs: 8000,
  evacuateAtMs: 15_000,
  stopAfterMs: 10_000,
  restoreAtMs: 40_000,
  endAtMs: 80_000,
};
const quickTimeline: EvacuationTimeline = {
  measureFromMs: 5000,
  evacuateAtMs: 6000,
  stopAfterMs: 3000,
  restoreAtMs: 10_000,
  endAtMs: 15_000,
};

const columns = [
  'user',
  'policy',
  'service',
  'priority',
  'offered',
  'goodputPerS',
  'failedCalls',
  'failedAfterReturn',
  'p50Ms',
  'p99Ms',
  'p99AfterReturnMs',
] as const;

const round = (value: number, digits = 2): number => Number(value.toFixed(digits));

const createServiceRows = (
  user: UserWorkload,
  policy: TrafficPolicy,
  result: EvacuationResult,
  measuredMs: number,
): (string | number)[][] =>
  user.services.map(({ name, priority }) => {
    const figures = result.services.get(name)!;
    return [
      user.name,
      policy.name,
      name,
      Priority[priority].toLowerCase(),
      figures.offered,
      round((figures.answered * 1000) / measuredMs, 1),
      figures.offered - figures.answered,
      figures.failedAfterRestore,
      round(figures.percentileMs(50)),
      round(figures.percentileMs(99)),
      round(figures.percentileAfterRestoreMs(99)),
    ];
  });

const run = async (options: BenchmarkOptions): Promise<BenchmarkReport> => {
  const chosenTimeline = options.isQuick ? quickTimeline : timeline;
  const policies = options.hasBaseline ? [productPolicy, baselinePolicy] : [productPolicy];
  const rows: (string | number)[][] = [];
  const figures: Record<string, number> = {};
  for (const user of userWorkloads) {
    for (const policy of policies) {
      const result = await new EvacuationRun(user, policy, chosenTimeline, options.seed).run();
      const serviceRows = createServiceRows(
        user,
        policy,
        result,
        chosenTimeline.endAtMs - chosenTimeline.measureFromMs,
      );
      rows.push(...serviceRows);
      const name = `${user.name}.${policy.name}`;
      serviceRows.forEach((cells) => {
        const valuesByColumn = columns.slice(4).map((column, index) => [column, cells[index + 4]]);
        valuesByColumn.forEach(([column, value]) => {
          figures[`${name}.${cells[2]}.${column}`] = Number(value);
        });
      });
      figures[`${name}.lastNewRequestS`] = round(result.lastNewRequestS, 3);
      figures[`${name}.doubledRequests`] = result.doubledRequests;
      figures[`${name}.coldOverloadMax`] = round(result.coldOverloadMax);
    }
  }
  return { name: 'evacuation', columns, rows, figures };
};

/**
 * Benchmark `evacuation`: a data centre is evacuated and restored under the load of both users, in
 * simulated time.
 */
export const evacuationBenchmark: Benchmark = {
  name: 'evacuation',
  description: 'A data centre is evacuated and restored under load',
  run,
};
