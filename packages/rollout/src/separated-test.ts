import type { ReporterCounts } from './evidence-blocks.js';
import type { BernoulliCounts } from './e-variables.js';
import { KindTest } from './kind-test.js';
import type { CountsPair } from './stratum.js';

/** Groups of new backend servers; each group is left out of one of the tests. */
const groupCount = 4;

/**
 * Tests of one kind of evidence that no single backend server of the new version can decide. One test
 * takes all calls, and one for each of four groups of new backend servers leaves that group out. The
 * evidence is the weakest of these tests: if one backend server is at fault rather than the version,
 * the test without its group is an E-process under the null hypothesis, and so bounds the minimum.
 *
 * @example
 * const separated = new SeparatedTest(() => new KindTest(0.02, 0.005));
 * separated.observe(dataCentres, block.reporters, ({ calls, failures }) => ({ calls, bad: failures }));
 * separated.comparedLogWealth;
 */
export class SeparatedTest {
  readonly all: KindTest;

  readonly #withoutGroup: readonly KindTest[];

  readonly #groups = new Map<string, number>();

  constructor(createTest: () => KindTest) {
    this.all = createTest();
    this.#withoutGroup = Array.from({ length: groupCount }, createTest);
  }

  /** Weakest evidence of the comparisons that leave out a group. */
  get comparedLogWealth(): number {
    return Math.min(...this.#deciding().map(({ compared }) => compared.logWealth));
  }

  /**
   * True if the evidence of all calls reaches the threshold, and the weakest one without a group is
   * at most `logSlack` below it.
   */
  reaches(logThreshold: number, logSlack: number): { isWorse: boolean; isOverLimit: boolean } {
    const { all } = this;
    const isWorse = all.compared.logWealth >= logThreshold;
    const isOverLimit = all.limited.logWealth >= logThreshold && all.isLimitBrokenWidely;
    return {
      isWorse: isWorse && this.comparedLogWealth >= logThreshold - logSlack,
      isOverLimit: isOverLimit && this.limitedLogWealth >= logThreshold - logSlack,
    };
  }

  /** 0 unless the limit is broken in most data centres. */
  get limitedLogWealth(): number {
    return Math.min(
      ...this.#deciding().map(({ isLimitBrokenWidely, limited }) =>
        isLimitBrokenWidely ? limited.logWealth : 0,
      ),
    );
  }

  observe(
    dataCentres: ReadonlyMap<string, CountsPair>,
    reporters: ReadonlyMap<string, ReporterCounts>,
    count: (counts: ReporterCounts['counts']) => BernoulliCounts,
  ): void {
    reporters.forEach((_, id) => {
      if (!this.#groups.has(id)) this.#groups.set(id, this.#groups.size % groupCount);
    });
    this.all.observe(dataCentres);
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
    this.all.beginStage();
  }

  /** Drops what was gathered without calls of the old version. */
  forgetUncompared(): void {
    [this.all, ...this.#withoutGroup].forEach(({ limited }) => limited.reset());
  }

  /** A single backend server cannot be told from its version. */
  #deciding(): readonly KindTest[] {
    if (this.#groups.size < 2) return [this.all];
    return this.#withoutGroup.slice(0, Math.min(groupCount, this.#groups.size));
  }
}
