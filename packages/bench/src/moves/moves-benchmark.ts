import { MoveVerdict } from '@sequoiafield/types';
import type { Benchmark, BenchmarkOptions, BenchmarkReport } from '../benchmark.js';
import { moveCases, type MoveCase } from './move-cases.js';
import { runJobs, type MoveJob } from './run-jobs.js';
import type { MoveResult } from './run-move.js';

interface CaseResult {
  readonly moveCase: MoveCase;
  readonly results: readonly MoveResult[];
}

interface Policy {
  readonly name: string;
  readonly isBaseline: boolean;
}

const columns = [
  ...['policy', 'case', 'moves', 'done in time', 'taken back', 'open', 'wrong'],
  ...['new calls % mean', 'new calls max', 'bad calls max', 'unproven share % max'],
  ...['first bad to verdict s median', 'max', 'calls after verdict', 'last after verdict s'],
];

const moveMs = 600_000;
/**
 * Moves of each case and policy with `--baseline`. All moves under both policies would take more
 * than 400 s, since a whole move takes 5 to 9 s on a busy machine.
 */
const baselineMovesPerCaseMax = 2;

const median = (values: readonly number[]): number =>
  [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0;
const maximum = (values: readonly number[]): number => values.reduce((a, b) => Math.max(a, b), 0);
const sum = (values: readonly number[]): number => values.reduce((a, b) => a + b, 0);

const isRolledBack = ({ verdict }: MoveResult): boolean => verdict === MoveVerdict.RolledBack;

/** Whether a good version was rolled back or a bad one is done. */
const isWrong = (moveCase: MoveCase, result: MoveResult): boolean =>
  moveCase.isBad ? result.verdict === MoveVerdict.Done : isRolledBack(result);

const isDoneInTime = (result: MoveResult): boolean =>
  result.verdict === MoveVerdict.Done && (result.decidedAfterMs ?? Infinity) <= moveMs;

/** Lists the moves of one policy, with seeds that no two cases share. */
const listJobs = (isBaseline: boolean, options: BenchmarkOptions): MoveJob[] => {
  const movesPerCaseMax = options.hasBaseline ? baselineMovesPerCaseMax : Infinity;
  return moveCases.flatMap(({ moveCount }, caseIndex) =>
    Array.from(
      { length: options.isQuick ? 1 : Math.min(moveCount, movesPerCaseMax) },
      (_, index) => ({
        ...{ caseIndex, isBaseline },
        seed: options.seed * 1_000_000 + caseIndex * 1000 + index,
      }),
    ),
  );
};

/** Groups the results of one policy by case and prints its open and wrong moves. */
const groupResults = (
  policy: Policy,
  jobs: readonly MoveJob[],
  all: readonly MoveResult[],
): CaseResult[] =>
  moveCases.map((moveCase, caseIndex) => {
    const results = all.filter((_, index) => {
      const job = jobs[index];
      return job?.caseIndex === caseIndex && job.isBaseline === policy.isBaseline;
    });
    results.forEach((result, index) => {
      const isOpen = result.verdict === MoveVerdict.Undecided;
      if (!isOpen && !isWrong(moveCase, result)) return;
      const { verdict, reason } = result;
      console.error(`${policy.name}: ${moveCase.name} #${index}: ${verdict}, ${reason}`);
    });
    return { moveCase, results };
  });

const createRow = (policy: Policy, { moveCase, results }: CaseResult): (string | number)[] => {
  const delaysMs = results
    .map(({ firstBadToTakenBackMs }) => firstBadToTakenBackMs)
    .filter((delayMs) => delayMs !== undefined);
  const sharesPercent = results.map(({ newCalls, calls }) => (100 * newCalls) / Math.max(1, calls));
  return [
    ...[policy.name, moveCase.name, results.length, results.filter(isDoneInTime).length],
    results.filter(isRolledBack).length,
    results.filter(({ verdict }) => verdict === MoveVerdict.Undecided).length,
    results.filter((result) => isWrong(moveCase, result)).length,
    (sum(sharesPercent) / sharesPercent.length).toFixed(2),
    maximum(results.map(({ newCalls }) => newCalls)),
    moveCase.isBad ? maximum(results.map(({ badCalls }) => badCalls)) : '',
    maximum(results.map(({ unprovenSharePercent }) => unprovenSharePercent)).toFixed(2),
    moveCase.isBad ? (median(delaysMs) / 1000).toFixed(1) : '',
    moveCase.isBad ? (maximum(delaysMs) / 1000).toFixed(1) : '',
    sum(results.map(({ callsAfterVerdict }) => callsAfterVerdict)),
    maximum(results.map(({ lastCallAfterVerdictMs }) => lastCallAfterVerdictMs)) / 1000,
  ];
};

const summarize = (cases: readonly CaseResult[], prefix: string): BenchmarkReport['figures'] => {
  const good = cases.filter(({ moveCase }) => !moveCase.isBad).flatMap(({ results }) => results);
  const bad = cases.filter(({ moveCase }) => moveCase.isBad).flatMap(({ results }) => results);
  const all = [...good, ...bad];
  const figures: Record<string, number> = {
    moves: all.length,
    goodMoves: good.length,
    goodDoneInTime: good.filter(isDoneInTime).length,
    goodTakenBack: good.filter(isRolledBack).length,
    badMoves: bad.length,
    badTakenBack: bad.filter(isRolledBack).length,
    badDone: bad.filter(({ verdict }) => verdict === MoveVerdict.Done).length,
    badCallsBeforeVerdict: sum(bad.map(({ badCalls }) => badCalls)),
    unprovenShareMaxPercent: maximum(all.map(({ unprovenSharePercent }) => unprovenSharePercent)),
    lastCallAfterVerdictMaxS:
      maximum(all.map(({ lastCallAfterVerdictMs }) => lastCallAfterVerdictMs)) / 1000,
    // With 0 of n seen, the true rate is below 3 / n at 95 % confidence.
    goodTakenBackUpper95Percent: good.filter(isRolledBack).length === 0 ? 300 / good.length : NaN,
    badMissedUpper95Percent: bad.every(isRolledBack) ? 300 / bad.length : NaN,
  };
  return Object.fromEntries(
    Object.entries(figures).map(([name, value]) => [`${prefix}${name}`, value]),
  );
};

/** Benchmark `moves`: seeded moves of good and bad versions on a simulated clock. */
export const movesBenchmark: Benchmark = {
  name: 'moves',
  description:
    'Good and bad backend versions: done in time, rolled back, exposure, false verdicts.',
  run: async (options: BenchmarkOptions): Promise<BenchmarkReport> => {
    const policies: Policy[] = [{ name: 'sequential', isBaseline: false }];
    if (options.hasBaseline) policies.push({ name: 'baseline', isBaseline: true });
    const jobs = policies.flatMap(({ isBaseline }) => listJobs(isBaseline, options));
    const all = await runJobs(jobs);
    const runs = policies.map((policy) => ({ policy, cases: groupResults(policy, jobs, all) }));
    return {
      name: 'moves',
      columns,
      rows: runs.flatMap(({ policy, cases }) => cases.map((result) => createRow(policy, result))),
      figures: Object.assign(
        {},
        ...runs.map(({ policy, cases }) =>
          summarize(cases, policy.name === 'baseline' ? 'baseline.' : ''),
        ),
      ) as BenchmarkReport['figures'],
    };
  },
};
