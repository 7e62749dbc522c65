import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SeededRandom, type RandomSource } from '@sequoiafield/tables';
import fc from 'fast-check';
import { matchSnapshot } from '@sequoiafield/test-kit';
import { BettingMixture } from './betting-mixture.js';
import { limitLogFactor, twoSampleLogFactor, type BernoulliCounts } from './e-variables.js';
import { SequentialRateTest } from './sequential-rate-test.js';

const logThreshold = Math.log(20); // alpha 0.05, so that a few hundred runs show a violation

const draw = (calls: number, rate: number, random: RandomSource): BernoulliCounts => {
  let bad = 0;
  for (let call = 0; call < calls; call += 1) if (random.next() < rate) bad += 1;
  return { calls, bad };
};

/** Common rate of both versions in a block. */
type Rate = (block: number) => number;
const nullRates: Readonly<Record<string, Rate>> = {
  'steady 0.2 %': () => 0.002,
  'steady 5 %': () => 0.05,
  'steady 50 %': () => 0.5,
  'outages of both': (block) => (block % 50 < 10 ? 0.4 : 0.01),
};

const rejectionsPercent = (
  rate: Rate,
  newCalls: number,
  createTest: () => { observe(old: BernoulliCounts, next: BernoulliCounts): number },
): number => {
  const runs = 300;
  let rejections = 0;
  for (let run = 0; run < runs; run += 1) {
    const random = new SeededRandom(1000 + run);
    const rateTest = createTest();
    for (let block = 0; block < 200; block += 1) {
      const old = draw(30, rate(block), random);
      const next = draw(newCalls, rate(block), random);
      if (rateTest.observe(old, next) >= logThreshold) {
        rejections += 1;
        break;
      }
    }
  }
  return (100 * rejections) / runs;
};

const createTwoSampleTest = () => {
  const rateTest = new SequentialRateTest(0.02, 0.005);
  return {
    observe: (old: BernoulliCounts, next: BernoulliCounts) => {
      rateTest.observe(new Map([['dc-1', { old, next }]]));
      return rateTest.twoSampleTest.logWealth;
    },
  };
};

/** Test that bets with the likelihood ratio against the old version's estimated rate. */
const createPlainRatioTest = () => {
  const mixture = new BettingMixture();
  let observed = { calls: 40, bad: 0.2 };
  return {
    observe: (old: BernoulliCounts, next: BernoulliCounts) => {
      const oldRate = observed.bad / observed.calls;
      mixture.bet((rate) => (rate > oldRate ? limitLogFactor(next, oldRate, rate) : 0));
      observed = { calls: observed.calls + old.calls, bad: observed.bad + old.bad };
      return mixture.logWealth;
    },
  };
};

test('the rejection rate under the null hypothesis stays below alpha with optional stopping', () => {
  // Guards against a test that is evaluated each second and so rejects good versions far more often
  // than alpha. The plain likelihood ratio, without the weighted mean, rejects the new version in an
  // outage of both.
  const rows = Object.entries(nullRates).flatMap(([name, rate]) =>
    [1, 30].map((newCalls) => {
      const percent = rejectionsPercent(rate, newCalls, createTwoSampleTest);
      const plain = rejectionsPercent(rate, newCalls, createPlainRatioTest);
      assert.ok(percent <= 5, `${name}: ${percent} % rejected`);
      return { name, newCalls, percent, plain };
    }),
  );
  const outages = rows.filter(({ name }) => name === 'outages of both');
  assert.ok(outages.every(({ plain }) => plain > 5));
  const table = rows.map(
    ({ name, newCalls, percent, plain }) =>
      `${name}, 30 old and ${newCalls} new calls: ${percent.toFixed(1)}, plain ${plain.toFixed(1)}`,
  );
  matchSnapshot(import.meta.filename, 'percent rejected in 200 blocks', table.join('\n'));
});

test('the expectation of one two-sample block is at most 1', () => {
  // Guards against a wrong weight of the mean, which makes the E-process grow under the null
  // hypothesis.
  const choose = (n: number, k: number): number => {
    let result = 1;
    for (let i = 1; i <= k; i += 1) result = (result * (n - k + i)) / i;
    return result;
  };
  const probability = (n: number, k: number, rate: number): number =>
    choose(n, k) * rate ** k * (1 - rate) ** (n - k);
  const rate = fc.double({ min: 0.001, max: 0.98, noNaN: true });
  const calls = fc.integer({ min: 1, max: 8 });
  fc.assert(
    fc.property(rate, rate, rate, calls, calls, (common, oldRate, newRate, oldCalls, newCalls) => {
      let expectation = 0;
      for (let a = 0; a <= oldCalls; a += 1) {
        for (let b = 0; b <= newCalls; b += 1) {
          const old = { calls: oldCalls, bad: a };
          const next = { calls: newCalls, bad: b };
          expectation +=
            probability(oldCalls, a, common) *
            probability(newCalls, b, common) *
            Math.exp(twoSampleLogFactor(old, next, oldRate, newRate));
        }
      }
      assert.ok(expectation <= 1 + 1e-9, `expectation ${expectation}`);
    }),
    { seed: 5, numRuns: 300 },
  );
});
