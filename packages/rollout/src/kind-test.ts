import { BettingMixture } from './betting-mixture.js';
import { limitLogFactor, twoSampleLogFactor, type BernoulliCounts } from './e-variables.js';
import { Stratum, recentCallsMin, type CountsPair } from './stratum.js';

/** Part of the counts that stays after each block; about the last 20 blocks matter. */
const windowKeep = 0.95;
/** Part of the old version's counts that stays in the estimate after each block. */
const estimateKeep = 0.98;
/** Calls of the old version before its history limits the new one. */
const historyCallsMin = 100;

const sumCounts = (left: BernoulliCounts, right: BernoulliCounts): BernoulliCounts => ({
  calls: left.calls + right.calls,
  bad: left.bad + right.bad,
});

/**
 * Sequential tests of one route and one kind of evidence. `compared` tests new against old over the
 * same period within each data centre. `limited` tests new against a limit that is the lower of the
 * absolute limit and what the old version's history allows; it leaves out data centres in which both
 * versions are sick, or which are sick alone.
 *
 * @example
 * const test = new KindTest(0.02, 0.005);
 * test.observe(new Map([['ath-1', { old, next }]]));
 * test.compared.logWealth;
 */
export class KindTest {
  readonly compared = new BettingMixture();

  readonly limited = new BettingMixture();

  readonly #strata = new Map<string, Stratum>();

  readonly #history = { calls: 0, bad: 0 };

  constructor(
    /** Rate that the service's own limit allows. */
    private readonly absoluteLimit: number,
    /** Smallest difference of the rates that matters. */
    readonly material: number,
  ) {}

  get oldHistoryRate(): number {
    return this.#history.calls > 0 ? this.#history.bad / this.#history.calls : 0;
  }

  /** Rate that the new version must not exceed. */
  get limitRate(): number {
    if (this.#history.calls < historyCallsMin) return this.absoluteLimit;
    const history = (this.#history.bad + 0.5) / (this.#history.calls + 1);
    const fromHistory = Math.max(1.5 * history, history + this.material);
    return Math.min(0.9, fromHistory, Math.max(this.absoluteLimit, 1.2 * history));
  }

  /** Difference of the recent rates, new minus old, over the data centres that have both. */
  get excess(): number {
    const both = [...this.#strata.values()].filter(
      ({ oldRecent, newRecent }) => oldRecent.calls > 0 && newRecent.calls > 0,
    );
    const calls = both.reduce((sum, { newRecent }) => sum + newRecent.calls, 0);
    const weighted = both.reduce(
      (sum, { oldRecent, newRecent }) => sum + newRecent.calls * (newRecent.rate - oldRecent.rate),
      0,
    );
    return calls > 0 ? weighted / calls : 0;
  }

  get hasRecentOld(): boolean {
    return [...this.#strata.values()].some(({ hasRecentOld }) => hasRecentOld);
  }

  observe(dataCentres: ReadonlyMap<string, CountsPair>): void {
    const { limitRate } = this;
    const seen: [Stratum, CountsPair][] = [];
    dataCentres.forEach((pair, name) => {
      const stratum = this.#strata.get(name) ?? new Stratum();
      this.#strata.set(name, stratum);
      this.#compare(stratum, pair);
      stratum.blocksWithoutOld = pair.old.calls > 0 ? 0 : stratum.blocksWithoutOld + 1;
      if (pair.next.calls > 0) {
        stratum.oldRecent.add(pair.old, windowKeep);
        stratum.newRecent.add(pair.next, windowKeep);
        seen.push([stratum, pair]);
      } else {
        stratum.oldRecent.add(pair.old, 1);
      }
      this.#history.calls += pair.old.calls;
      this.#history.bad += pair.old.bad;
    });
    this.#limit(seen, limitRate);
  }

  #compare(state: Stratum, pair: CountsPair): void {
    const stratum = state;
    const old = sumCounts(stratum.pending.old, pair.old);
    const next = sumCounts(stratum.pending.next, pair.next);
    stratum.pending = { old, next };
    if (old.calls === 0 || next.calls === 0) return;
    stratum.pending = { old: { calls: 0, bad: 0 }, next: { calls: 0, bad: 0 } };
    const { oldRate } = stratum;
    this.compared.bet((rate) =>
      rate > 1.2 * oldRate ? twoSampleLogFactor(old, next, oldRate, rate) : 0,
    );
    stratum.estimate.add(old, estimateKeep);
  }

  #limit(seen: readonly [Stratum, CountsPair][], limitRate: number): void {
    const isSickAlone = ({ newRecent }: Stratum): boolean =>
      newRecent.calls >= recentCallsMin && newRecent.rate > limitRate;
    const strata = [...this.#strata.values()].filter(({ newRecent }) => newRecent.calls > 0);
    const sick = strata.filter(isSickAlone).length;
    const isOneCentreSick = strata.length > 1 && sick * 2 <= strata.length;
    const counted = seen.filter(
      ([stratum]) => !stratum.areBothSick && !(isOneCentreSick && isSickAlone(stratum)),
    );
    const next = counted.map(([, pair]) => pair.next).reduce(sumCounts, { calls: 0, bad: 0 });
    if (next.calls === 0) return;
    this.limited.bet((rate) =>
      rate > 1.2 * limitRate ? limitLogFactor(next, limitRate, rate) : 0,
    );
  }
}
