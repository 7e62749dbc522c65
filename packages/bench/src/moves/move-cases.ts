import type { FakeCall, FakeOutcome } from '@sequoiafield/rollout';
import type { RandomSource } from '@sequoiafield/tables';

/** Distribution of the outcomes of a case's backend servers at one moment. */
export interface OutcomeDistribution {
  readonly failureRate: number;
  /** Median latency of successful calls. */
  readonly medianMs: number;
  readonly isHung?: boolean;
  /** Whether the call hits the new version's defect, so that a bad outcome counts as a bad call. */
  readonly isDefect?: boolean;
}

/** Outcome of a call with the information whether it hit the new version's defect. */
export interface LabelledOutcome extends FakeOutcome {
  readonly isDefect: boolean;
}

/** Times of one move that a case may depend on. */
export interface MoveCaseTimes {
  readonly nowMs: number;
  /** Time since the move was done; undefined before. */
  readonly sinceDoneMs: number | undefined;
}

/** One kind of move. */
export interface MoveCase {
  readonly name: string;
  readonly isBad: boolean;
  readonly callsPerSecond: number;
  /** Number of seeded moves in a full run. */
  readonly moveCount: number;
  /** New backend servers in each data centre, where two old ones run as well. */
  readonly newServerCounts: readonly [number, number, number];
  /** Whether the service `other` fails as well at these times. */
  readonly isGeneralOutage?: (times: MoveCaseTimes) => boolean;
  /** Time that the run continues after the move is done. */
  readonly afterDoneMs: number;
  getOutcomeDistribution(call: FakeCall, times: MoveCaseTimes): OutcomeDistribution;
}

const usualDistribution: OutcomeDistribution = { failureRate: 0.001, medianMs: 20 };

type OutcomeRule = (
  call: FakeCall,
  times: MoveCaseTimes,
) => Partial<OutcomeDistribution> | undefined;

const isNewVersion = (call: FakeCall): boolean => call.backendVersion === 'v2';

const createCase = (
  name: string,
  isBad: boolean,
  callsPerSecond: number,
  moveCount: number,
  rule: OutcomeRule,
  changes: Partial<MoveCase> = {},
): MoveCase => ({
  ...{
    name,
    isBad,
    callsPerSecond,
    moveCount,
    newServerCounts: [1, 1, 1],
    afterDoneMs: 30_000,
  },
  getOutcomeDistribution: (call, times) => ({ ...usualDistribution, ...rule(call, times) }),
  ...changes,
});

const isBetween = (atMs: number, fromMs: number, toMs: number): boolean =>
  atMs >= fromMs && atMs < toMs;

/** Both versions fail more often for 20 s of every 100 s. */
const noiseOnBoth: OutcomeRule = (_, { nowMs }) => ({
  failureRate: nowMs % 100_000 < 20_000 ? 0.05 : 0.01,
});
const failingDataCentre: OutcomeRule = ({ dataCentre }, { nowMs }) =>
  dataCentre === 'dc-1' && isBetween(nowMs, 60_000, 300_000) ? { failureRate: 0.4 } : undefined;
const failAtRate =
  (rate: number, isActive: OutcomeRule = () => ({})): OutcomeRule =>
  (call, times) =>
    isNewVersion(call) && isActive(call, times) ? { failureRate: rate, isDefect: true } : undefined;
const longRunAfterDone: Partial<MoveCase> = { afterDoneMs: 180_000 };
const outageAfterDone = ({ sinceDoneMs }: MoveCaseTimes): boolean =>
  sinceDoneMs !== undefined && isBetween(sinceDoneMs, 30_000, 90_000);

/** Good versions: none of them may be rolled back. */
const goodCases: readonly MoveCase[] = [
  createCase('good', false, 40, 20, () => undefined),
  createCase('good, busy', false, 250, 6, () => undefined),
  createCase('good, 3 calls/s', false, 3, 24, () => undefined),
  createCase('good, noise on both', false, 40, 16, noiseOnBoth),
  createCase('good, noise, 3 calls/s', false, 3, 8, () => ({ failureRate: 0.02 })),
  createCase('good, sick data centre', false, 40, 10, failingDataCentre),
  createCase('good, sick centre has most new', false, 40, 10, failingDataCentre, {
    newServerCounts: [3, 1, 0],
  }),
  createCase('good, cold for 8 s', false, 40, 8, (call, { nowMs }) =>
    isNewVersion(call) && nowMs < 20_000 ? { medianMs: 100 } : undefined,
  ),
  createCase(
    'good, outage of all after done',
    false,
    40,
    8,
    (_, times) => (outageAfterDone(times) ? { failureRate: 0.5 } : undefined),
    { ...longRunAfterDone, isGeneralOutage: outageAfterDone },
  ),
];

/** Bad versions: all of them must be rolled back. */
const badCases: readonly MoveCase[] = [
  createCase('fails 100 %', true, 40, 8, failAtRate(1)),
  createCase('fails 20 %', true, 40, 8, failAtRate(0.2)),
  createCase('fails 5 %', true, 40, 10, failAtRate(0.05)),
  createCase('fails 100 %, 3 calls/s', true, 3, 8, failAtRate(1)),
  createCase('fails 20 %, 3 calls/s', true, 3, 10, failAtRate(0.2)),
  createCase(
    'fails 30 % after 200 s',
    true,
    40,
    8,
    failAtRate(0.3, (_, { nowMs }) => (nowMs > 200_000 ? {} : undefined)),
  ),
  createCase(
    'fails 20 % above 20 % share',
    true,
    40,
    8,
    failAtRate(0.2, ({ sharePercent }) => (sharePercent > 20 ? {} : undefined)),
  ),
  createCase(
    'fails 30 % on one route of four',
    true,
    40,
    8,
    failAtRate(0.3, ({ route }) => (route === 'settle' ? {} : undefined)),
  ),
  createCase('noise on both, fails 15 %', true, 40, 8, (call, times) =>
    isNewVersion(call) ? { failureRate: 0.15, isDefect: true } : noiseOnBoth(call, times),
  ),
  createCase('sick data centre, fails 20 %', true, 40, 8, (call, times) => ({
    ...failingDataCentre(call, times),
    ...(isNewVersion(call)
      ? { failureRate: call.dataCentre === 'dc-1' ? 0.5 : 0.2, isDefect: true }
      : {}),
  })),
  createCase('3 times slower', true, 40, 8, (call) =>
    isNewVersion(call) ? { medianMs: 60, isDefect: true } : undefined,
  ),
  createCase('hangs 30 %', true, 40, 8, (call) =>
    isNewVersion(call) && call.random.next() < 0.3 ? { isHung: true, isDefect: true } : undefined,
  ),
  createCase(
    'fails 20 % from 60 s after done',
    true,
    40,
    8,
    failAtRate(0.2, (_, { sinceDoneMs }) => (sinceDoneMs && sinceDoneMs > 60_000 ? {} : undefined)),
    longRunAfterDone,
  ),
];

/**
 * One new backend server is faulty for `durationMs` of every 120 s, at several stages of the move;
 * its version is not at fault.
 */
const onOneServer =
  (change: Partial<OutcomeDistribution>, durationMs: number): OutcomeRule =>
  ({ nodeId }, { nowMs }) =>
    nodeId === 'dc-1-settlement-v2-0' && nowMs % 120_000 < durationMs ? change : undefined;

/**
 * Versions that are worse by less than a quarter of the failure limit, and versions with one faulty
 * backend server: they may be neither held nor rolled back.
 */
const borderCases: readonly MoveCase[] = [
  createCase('good, 0.3 % worse, busy', false, 250, 4, (call) =>
    isNewVersion(call) ? { failureRate: 0.004 } : undefined,
  ),
  createCase('good, one new server fails 5 s', false, 40, 8, onOneServer({ failureRate: 1 }, 5000)),
  createCase(
    'good, one new server cold 10 s',
    false,
    40,
    8,
    onOneServer({ medianMs: 200 }, 10_000),
  ),
  createCase('good, one new server hangs 5 s', false, 40, 8, onOneServer({ isHung: true }, 5000)),
  createCase(
    'good, one new server always fails',
    false,
    40,
    8,
    onOneServer({ failureRate: 1 }, 120_000),
  ),
];

/** All cases, good ones first. */
export const moveCases: readonly MoveCase[] = [...goodCases, ...badCases, ...borderCases];

/**
 * Draws the outcome of a call: log-normal latency with a sigma of 0.35.
 *
 * @example
 * drawOutcome({ failureRate: 0.01, medianMs: 20 }, random);
 */
export const drawOutcome = (
  distribution: OutcomeDistribution,
  random: RandomSource,
): LabelledOutcome => {
  const normal =
    Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
  return {
    hasFailed: random.next() < distribution.failureRate,
    latencyMs: distribution.medianMs * Math.exp(0.35 * normal),
    isHung: distribution.isHung ?? false,
    isDefect: distribution.isDefect ?? false,
  };
};
