import type { ReporterCounts } from './evidence-blocks.js';
import type { BernoulliCounts } from './e-variables.js';
import { SequentialRateTest } from './sequential-rate-test.js';
import type { BernoulliCountsPair } from './stratum.js';
import { DecayingCounts } from './decaying-counts.js';

/**
 * Fewest new backend servers of which one can be found faulty; with two, either may be the faulty
 * one.
 */
const serversMin = 3;
/** Number of groups of new backend servers; each group is left out of one of the tests. */
const groupCount = 4;

/**
 * Tests of one kind of evidence whose result no single backend server of the new version can decide.
 * One test uses all calls, and four tests each leave out one of four groups of new backend servers.
 * The evidence is that of the weakest of these tests: if one backend server is at fault rather than
 * the version, the test without its group is an E-process under the null hypothesis and bounds the
 * minimum.
 *
 * @example
 * const test = new LeaveOneGroupOutTest(() => new SequentialRateTest(0.02, 0.005));
 * test.observe(dataCentres, block.reporters, ({ calls, failures }) => ({ calls, bad: failures }));
 * test.twoSampleLogWealth;
 */
export class LeaveOneGroupOutTest {
  readonly allCallsTest: SequentialRateTest;

  readonly #testsWithoutGroup: readonly SequentialRateTest[];

  readonly #groupById = new Map<string, number>();

  readonly #countsById = new Map<string, DecayingCounts>();

  constructor(createTest: () => SequentialRateTest) {
    this.allCallsTest = createTest();
    this.#testsWithoutGroup = Array.from({ length: groupCount }, createTest);
  }

  /** Logarithm of the smallest wealth of the two-sample tests that leave out a group. */
  get twoSampleLogWealth(): number {
    return Math.min(...this.#decidingTests().map(({ twoSampleTest }) => twoSampleTest.logWealth));
  }

  /**
   * Evaluates the two-sample test and the limit test. A result is true if the evidence of all calls
   * reaches the threshold and the weakest evidence without a group is at most `logSlack` below it.
   */
  evaluate(logThreshold: number, logSlack: number): { isWorse: boolean; isOverLimit: boolean } {
    const { allCallsTest: all } = this;
    const isWorse = all.twoSampleTest.logWealth >= logThreshold;
    const isOverLimit =
      all.limitTest.logWealth >= logThreshold && all.isLimitExceededInMostDataCentres;
    return {
      isWorse: isWorse && this.twoSampleLogWealth >= logThreshold - logSlack,
      isOverLimit: isOverLimit && this.limitLogWealth >= logThreshold - logSlack,
    };
  }

  /**
   * Backend servers that are at fault rather than their version: the evidence of all calls reaches
   * the threshold, and without the group of these servers there is no evidence against the version.
   * The group must hold fewer than half of the known servers.
   */
  faultyServers(logThreshold: number): ReadonlySet<string> {
    const group = this.#faultyGroup(logThreshold);
    const ids = [...this.#groupById.keys()].filter((id) => this.#groupById.get(id) === group);
    const { limitRate } = this.allCallsTest;
    return new Set(ids.filter((id) => (this.#countsById.get(id)?.rate ?? 0) > limitRate));
  }

  /** Bad calls of the stage beyond the old version's rate, without those of faulty servers. */
  stageExcessBadCalls(logThreshold: number): number {
    const group = this.#faultyGroup(logThreshold);
    return (this.#testsWithoutGroup[group ?? -1] ?? this.allCallsTest).stageExcessBadCalls;
  }

  /**
   * Logarithm of the smallest wealth of the limit tests; 0 unless most data centres exceed the
   * limit.
   */
  get limitLogWealth(): number {
    return Math.min(
      ...this.#decidingTests().map(({ isLimitExceededInMostDataCentres, limitTest }) =>
        isLimitExceededInMostDataCentres ? limitTest.logWealth : 0,
      ),
    );
  }

  observe(
    dataCentres: ReadonlyMap<string, BernoulliCountsPair>,
    reporters: ReadonlyMap<string, ReporterCounts>,
    count: (counts: ReporterCounts['counts']) => BernoulliCounts,
  ): void {
    reporters.forEach((_, id) => {
      if (!this.#groupById.has(id)) this.#groupById.set(id, this.#groupById.size % groupCount);
    });
    reporters.forEach(({ counts }, id) => {
      const server = this.#countsById.get(id) ?? new DecayingCounts();
      this.#countsById.set(id, server);
      server.add(count(counts), 1);
    });
    this.allCallsTest.observe(dataCentres);
    this.#testsWithoutGroup.forEach((test, group) => {
      const rest = new Map(dataCentres);
      reporters.forEach(({ dataCentre, counts }, id) => {
        const pair = rest.get(dataCentre);
        if (!pair || this.#groupById.get(id) !== group) return;
        const { calls, bad } = count(counts);
        const next = { calls: pair.next.calls - calls, bad: pair.next.bad - bad };
        rest.set(dataCentre, { old: pair.old, next });
      });
      test.observe(rest);
    });
  }

  beginStage(): void {
    [this.allCallsTest, ...this.#testsWithoutGroup].forEach((test) => test.beginStage());
  }

  /** Discards the evidence that was collected without calls of the old version. */
  resetLimitTests(): void {
    [this.allCallsTest, ...this.#testsWithoutGroup].forEach(({ limitTest }) => limitTest.reset());
  }

  #faultyGroup(logThreshold: number): number | undefined {
    if (
      this.#groupById.size < serversMin ||
      this.allCallsTest.twoSampleTest.logWealth < logThreshold
    ) {
      return undefined;
    }
    const groups = [...this.#groupById.values()];
    const found = this.#decidingTests().findIndex(
      ({ twoSampleTest }) => twoSampleTest.logWealth <= 0,
    );
    const isMinority = groups.filter((group) => group === found).length * 2 < groups.length;
    return found >= 0 && isMinority ? found : undefined;
  }

  /**
   * Tests that decide: those without a group of servers, or the test of all calls if there is only
   * one server, since a fault of that server cannot be distinguished from one of the version.
   */
  #decidingTests(): readonly SequentialRateTest[] {
    if (this.#groupById.size < 2) return [this.allCallsTest];
    return this.#testsWithoutGroup.slice(0, Math.min(groupCount, this.#groupById.size));
  }
}
