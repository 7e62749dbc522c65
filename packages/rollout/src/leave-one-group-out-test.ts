import type { ReporterCounts } from './evidence-blocks.js';
import type { BernoulliCounts } from './e-variables.js';
import { SequentialRateTest } from './sequential-rate-test.js';
import type { BernoulliCountsPair } from './stratum.js';
import { DecayingCounts } from './decaying-counts.js';

/** Fewest new backend servers of which one can be called faulty; of two, either may be the odd one. */
const serversMin = 3;
/** Groups of new backend servers; each group is left out of one of the tests. */
const groupCount = 4;

/**
 * Tests of one kind of evidence that no single backend server of the new version can decide. One test
 * takes all calls, and one for each of four groups of new backend servers leaves that group out. The
 * evidence is the weakest of these tests: if one backend server is at fault rather than the version,
 * the test without its group is an E-process under the null hypothesis, and so bounds the minimum.
 *
 * @example
 * const separated = new LeaveOneGroupOutTest(() => new SequentialRateTest(0.02, 0.005));
 * separated.observe(dataCentres, block.reporters, ({ calls, failures }) => ({ calls, bad: failures }));
 * separated.twoSampleLogWealth;
 */
export class LeaveOneGroupOutTest {
  readonly allCallsTest: SequentialRateTest;

  readonly #withoutGroup: readonly SequentialRateTest[];

  readonly #groups = new Map<string, number>();

  readonly #servers = new Map<string, DecayingCounts>();

  constructor(createTest: () => SequentialRateTest) {
    this.allCallsTest = createTest();
    this.#withoutGroup = Array.from({ length: groupCount }, createTest);
  }

  /** Weakest evidence of the comparisons that leave out a group. */
  get twoSampleLogWealth(): number {
    return Math.min(...this.#deciding().map(({ twoSampleTest: compared }) => compared.logWealth));
  }

  /**
   * True if the evidence of all calls reaches the threshold, and the weakest one without a group is
   * at most `logSlack` below it.
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
   * the threshold, and without the group of these servers nothing speaks against the version. They
   * must be fewer than half of those seen.
   */
  faultyServers(logThreshold: number): ReadonlySet<string> {
    const group = this.#faultyGroup(logThreshold);
    const ids = [...this.#groups.keys()].filter((id) => this.#groups.get(id) === group);
    const { limitRate } = this.allCallsTest;
    return new Set(ids.filter((id) => (this.#servers.get(id)?.rate ?? 0) > limitRate));
  }

  /** Bad calls of the stage beyond the old version's rate, those of faulty servers left out. */
  stageExcessBadCalls(logThreshold: number): number {
    const group = this.#faultyGroup(logThreshold);
    return (this.#withoutGroup[group ?? -1] ?? this.allCallsTest).stageExcessBadCalls;
  }

  /** 0 unless the limit is broken in most data centres. */
  get limitLogWealth(): number {
    return Math.min(
      ...this.#deciding().map(
        ({ isLimitExceededInMostDataCentres: isLimitBrokenWidely, limitTest: limited }) =>
          isLimitBrokenWidely ? limited.logWealth : 0,
      ),
    );
  }

  observe(
    dataCentres: ReadonlyMap<string, BernoulliCountsPair>,
    reporters: ReadonlyMap<string, ReporterCounts>,
    count: (counts: ReporterCounts['counts']) => BernoulliCounts,
  ): void {
    reporters.forEach((_, id) => {
      if (!this.#groups.has(id)) this.#groups.set(id, this.#groups.size % groupCount);
    });
    reporters.forEach(({ counts }, id) => {
      const server = this.#servers.get(id) ?? new DecayingCounts();
      this.#servers.set(id, server);
      server.add(count(counts), 1);
    });
    this.allCallsTest.observe(dataCentres);
    this.#withoutGroup.forEach((test, group) => {
      const rest = new Map(dataCentres);
      reporters.forEach(({ dataCentre, counts }, id) => {
        const pair = rest.get(dataCentre);
        if (!pair || this.#groups.get(id) !== group) return;
        const { calls, bad } = count(counts);
        const next = { calls: pair.next.calls - calls, bad: pair.next.bad - bad };
        rest.set(dataCentre, { old: pair.old, next });
      });
      test.observe(rest);
    });
  }

  beginStage(): void {
    [this.allCallsTest, ...this.#withoutGroup].forEach((test) => test.beginStage());
  }

  /** Drops what was gathered without calls of the old version. */
  resetLimitTests(): void {
    [this.allCallsTest, ...this.#withoutGroup].forEach(({ limitTest: limited }) => limited.reset());
  }

  #faultyGroup(logThreshold: number): number | undefined {
    if (
      this.#groups.size < serversMin ||
      this.allCallsTest.twoSampleTest.logWealth < logThreshold
    ) {
      return undefined;
    }
    const groups = [...this.#groups.values()];
    const found = this.#deciding().findIndex(
      ({ twoSampleTest: compared }) => compared.logWealth <= 0,
    );
    const isMinority = groups.filter((group) => group === found).length * 2 < groups.length;
    return found >= 0 && isMinority ? found : undefined;
  }

  /** A single backend server cannot be told from its version. */
  #deciding(): readonly SequentialRateTest[] {
    if (this.#groups.size < 2) return [this.allCallsTest];
    return this.#withoutGroup.slice(0, Math.min(groupCount, this.#groups.size));
  }
}
