import type { FakeCall, FakeOutcome } from '@sequoiafield/rollout';
import type { RandomSource } from '@sequoiafield/tables';

/** How a case's backend servers behave at one moment. */
export interface OutcomeDistribution {
  readonly failureRate: number;
  /** Median latency of successful calls. */
  readonly medianMs: number;
  readonly isHung?: boolean;
  /** The call meets the new version's defect, so that a bad outcome counts against it. */
  readonly isDefect?: boolean;
}

/** Outcome with what the benchmark knows about its cause. */
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
  /** Number of seeded moves at full length. */
  readonly moveCount: number;
  /** New backend servers by data centre; two old ones run in each. */
  readonly newServerCounts: readonly [number, number, number];
  /** The other service is sick too between these times. */
  readonly isGeneralOutage?: (clock: MoveCaseTimes) => boolean;
  /** How long the run goes on after done. */
  readonly afterDoneMs: number;
  getOutcomeDistribution(call: FakeCall, clock: MoveCaseTimes): OutcomeDistribution;
}

const usual: OutcomeDistribution = { failureRate: 0.001, medianMs: 20 };

type Rule = (call: FakeCall, clock: MoveCaseTimes) => Partial<OutcomeDistribution> | undefined;

const isNew = (call: FakeCall): boolean => call.backendVersion === 'v2';

const create = (
  name: string,
  isBad: boolean,
  callsPerSecond: number,
  moves: number,
  rule: Rule,
  changes: Partial<MoveCase> = {},
): MoveCase => ({
  ...{
    name,
    isBad,
    callsPerSecond,
    moveCount: moves,
    newServerCounts: [1, 1, 1],
    afterDoneMs: 30_000,
  },
  getOutcomeDistribution: (call, clock) => ({ ...usual, ...rule(call, clock) }),
  ...changes,
});

const between = (atMs: number, fromMs: number, toMs: number): boolean =>
  atMs >= fromMs && atMs < toMs;

/** Both versions fail more for 20 s of each 100 s. */
const noise: Rule = (_, { nowMs }) => ({ failureRate: nowMs % 100_000 < 20_000 ? 0.05 : 0.01 });
const sickCentre: Rule = ({ dataCentre }, { nowMs }) =>
  dataCentre === 'dc-1' && between(nowMs, 60_000, 300_000) ? { failureRate: 0.4 } : undefined;
const failing =
  (rate: number, isActive: Rule = () => ({})): Rule =>
  (call, clock) =>
    isNew(call) && isActive(call, clock) ? { failureRate: rate, isDefect: true } : undefined;
const afterDone: Partial<MoveCase> = { afterDoneMs: 180_000 };
const outageAfterDone = ({ sinceDoneMs }: MoveCaseTimes): boolean =>
  sinceDoneMs !== undefined && between(sinceDoneMs, 30_000, 90_000);

/** Good versions: none of them may be taken back. */
const goodCases: readonly MoveCase[] = [
  create('good', false, 40, 20, () => undefined),
  create('good, busy', false, 250, 6, () => undefined),
  create('good, 3 calls/s', false, 3, 24, () => undefined),
  create('good, noise on both', false, 40, 16, noise),
  create('good, noise, 3 calls/s', false, 3, 8, () => ({ failureRate: 0.02 })),
  create('good, sick data centre', false, 40, 10, sickCentre),
  create('good, sick centre has most new', false, 40, 10, sickCentre, {
    newServerCounts: [3, 1, 0],
  }),
  create('good, cold for 8 s', false, 40, 8, (call, { nowMs }) =>
    isNew(call) && nowMs < 20_000 ? { medianMs: 100 } : undefined,
  ),
  create(
    'good, outage of all after done',
    false,
    40,
    8,
    (_, clock) => (outageAfterDone(clock) ? { failureRate: 0.5 } : undefined),
    { ...afterDone, isGeneralOutage: outageAfterDone },
  ),
];

/** Bad versions: all of them must be taken back. */
const badCases: readonly MoveCase[] = [
  create('fails 100 %', true, 40, 8, failing(1)),
  create('fails 20 %', true, 40, 8, failing(0.2)),
  create('fails 5 %', true, 40, 10, failing(0.05)),
  create('fails 100 %, 3 calls/s', true, 3, 8, failing(1)),
  create('fails 20 %, 3 calls/s', true, 3, 10, failing(0.2)),
  create(
    'fails 30 % after 200 s',
    true,
    40,
    8,
    failing(0.3, (_, { nowMs }) => (nowMs > 200_000 ? {} : undefined)),
  ),
  create(
    'fails 20 % above 20 % share',
    true,
    40,
    8,
    failing(0.2, ({ sharePercent }) => (sharePercent > 20 ? {} : undefined)),
  ),
  create(
    'fails 30 % on one route of four',
    true,
    40,
    8,
    failing(0.3, ({ route }) => (route === 'settle' ? {} : undefined)),
  ),
  create('noise on both, fails 15 %', true, 40, 8, (call, clock) =>
    isNew(call) ? { failureRate: 0.15, isDefect: true } : noise(call, clock),
  ),
  create('sick data centre, fails 20 %', true, 40, 8, (call, clock) => ({
    ...sickCentre(call, clock),
    ...(isNew(call) ? { failureRate: call.dataCentre === 'dc-1' ? 0.5 : 0.2, isDefect: true } : {}),
  })),
  create('3 times slower', true, 40, 8, (call) =>
    isNew(call) ? { medianMs: 60, isDefect: true } : undefined,
  ),
  create('hangs 30 %', true, 40, 8, (call) =>
    isNew(call) && call.random.next() < 0.3 ? { isHung: true, isDefect: true } : undefined,
  ),
  create(
    'fails 20 % from 60 s after done',
    true,
    40,
    8,
    failing(0.2, (_, { sinceDoneMs }) => (sinceDoneMs && sinceDoneMs > 60_000 ? {} : undefined)),
    afterDone,
  ),
];

/** One new backend server misbehaves for a while, at several stages; its version is not at fault. */
const oneServer =
  (change: Partial<OutcomeDistribution>, durationMs: number): Rule =>
  ({ nodeId }, { nowMs }) =>
    nodeId === 'dc-1-settlement-v2-0' && nowMs % 120_000 < durationMs ? change : undefined;

/**
 * Worse by less than a quarter of the failure limit, or a backend server at fault rather than its
 * version: neither to be held nor taken back.
 */
const borderCases: readonly MoveCase[] = [
  create('good, 0.3 % worse, busy', false, 250, 4, (call) =>
    isNew(call) ? { failureRate: 0.004 } : undefined,
  ),
  create('good, one new server fails 5 s', false, 40, 8, oneServer({ failureRate: 1 }, 5000)),
  create('good, one new server cold 10 s', false, 40, 8, oneServer({ medianMs: 200 }, 10_000)),
  create('good, one new server hangs 5 s', false, 40, 8, oneServer({ isHung: true }, 5000)),
  create('good, one new server always fails', false, 40, 8, oneServer({ failureRate: 1 }, 120_000)),
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
  behaviour: OutcomeDistribution,
  random: RandomSource,
): LabelledOutcome => {
  const normal =
    Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
  return {
    hasFailed: random.next() < behaviour.failureRate,
    latencyMs: behaviour.medianMs * Math.exp(0.35 * normal),
    isHung: behaviour.isHung ?? false,
    isDefect: behaviour.isDefect ?? false,
  };
};
