import { EvidenceSource, KneeHypothesis } from './knee-hypothesis.js';

/** Knees that are considered, as shares of the slots. */
const kneeShares = [0.2, 0.3, 0.45, 0.6, 0.75, 0.9];
/** Slowdown beyond the knee: 1 keeps the throughput as it is, 2 lowers it. */
const steepnesses = [1, 2];
/** Assumed probability that a server does not slow down below its slots. */
const flatPrior = 0.65;
/**
 * Largest observed evidence for a slowdown. Whatever slows a server down (noise, a slow downstream service)
 * also makes calls pile up, so that observed calls overstate what running calls do to each other. They
 * may rule a slowdown out, but only suggest one; tests decide.
 */
const observedEvidenceMax = 1;
/** The same for the choice of tests, so that what is suggested is soon tested. */
const suggestedEvidenceMax = 3;
/** Largest difference of evidence that counts, so that a changed server is soon learned anew. */
const evidenceMax = 8;
/**
 * Samples that determine the present level of latencies. It follows what changes all calls alike (speed,
 * noise, a slow downstream service), so that only differences with the running calls count.
 */
const levelMemorySamples = 30;
/** Weight, in samples, of the assumption that latencies are at first as in the history. */
const levelFirstSamples = 3;
/** Samples after which one has its whole weight; the history that they are compared with is new at first. */
const trustedSamples = 10;
/** Variance of the logarithm of a latency: assumed at first, and its bounds. */
const assumedVariance = 0.4;
const varianceMin = 0.1;
const varianceMax = 1.5;
const varianceWeight = 0.02;
/** Deviations beyond this many standard deviations count no more: a few calls take far longer. */
const deviationsMax = 2;

const createHypotheses = (slots: number): KneeHypothesis[] => {
  const prior = (1 - flatPrior) / (kneeShares.length * steepnesses.length);
  const withKnee = kneeShares.flatMap((share) =>
    steepnesses.map((steepness) => new KneeHypothesis(share * slots, steepness, prior, slots)),
  );
  return [new KneeHypothesis(slots, 0, flatPrior, slots), ...withKnee];
};

/**
 * Probabilities of the ways in which a server may slow down with the calls that it runs, by Bayes' rule
 * from the latencies of calls and the number of calls that ran meanwhile.
 *
 * @example
 * const model = new KneeModel(6);
 * model.add(4.5, Math.log(latencyMs / usualLatencyMs), EvidenceSource.Observed);
 * model.bestLimit();
 */
export class KneeModel {
  readonly #hypotheses: readonly KneeHypothesis[];

  /** Probabilities of the hypotheses; changed in place, since each call changes them. */
  readonly #weights: Float64Array;

  /** Factor of the probability of no slowdown for the choice of tests. */
  #flatDrawFactor = 1;

  #samples = 0;

  #variance = assumedVariance;

  constructor(readonly slots: number) {
    this.#hypotheses = createHypotheses(slots);
    this.#weights = Float64Array.from(this.#hypotheses, ({ prior }) => prior);
  }

  /** Adds a call: the mean number of running calls, and the logarithm of its relative latency. */
  add(runningCalls: number, logRatio: number, source: EvidenceSource): void {
    this.#samples += 1;
    const levelWeight = 1 / Math.min(this.#samples + levelFirstSamples, levelMemorySamples);
    const trust = Math.min(1, this.#samples / trustedSamples);
    const deviationMax = deviationsMax * Math.sqrt(this.#variance);
    let squares = 0;
    for (let index = 0; index < this.#hypotheses.length; index += 1) {
      const hypothesis = this.#hypotheses[index]!;
      const error = logRatio - hypothesis.logStretch(runningCalls) - hypothesis.level;
      const bounded = Math.max(-deviationMax, Math.min(deviationMax, error));
      const likelihood = -(trust * bounded ** 2) / (2 * this.#variance);
      hypothesis.shift(bounded * levelWeight);
      hypothesis.addEvidence(source, likelihood);
      squares += this.#weights[index]! * bounded ** 2;
    }
    const variance = this.#variance + (squares - this.#variance) * varianceWeight;
    this.#variance = Math.min(varianceMax, Math.max(varianceMin, variance));
    this.#updateWeights();
  }

  /** Shifts the levels, because the latencies are compared with other ones from now on. */
  shift(logRatio: number): void {
    for (const hypothesis of this.#hypotheses) hypothesis.shift(logRatio);
  }

  /** Expected logarithm of the factor by which running calls slow each other down. */
  logStretch(runningCalls: number): number {
    let sum = 0;
    for (let index = 0; index < this.#hypotheses.length; index += 1) {
      sum += this.#weights[index]! * this.#hypotheses[index]!.logStretch(runningCalls);
    }
    return sum;
  }

  /** Expected value of a limit, 0 to 1. */
  valueOf(limit: number): number {
    let sum = 0;
    for (let index = 0; index < this.#hypotheses.length; index += 1) {
      sum += this.#weights[index]! * (this.#hypotheses[index]!.values[limit - 1] ?? 0);
    }
    return sum;
  }

  /** Returns the limit with the highest expected value. */
  bestLimit(): number {
    let best = this.slots;
    for (let limit = this.slots - 1; limit >= 1; limit -= 1) {
      if (this.valueOf(limit) > this.valueOf(best)) best = limit;
    }
    return best;
  }

  /**
   * Returns the best limit of a hypothesis that is drawn by its probability; `roll` is in [0, 1). The
   * observed evidence for a slowdown counts more here than in `bestLimit`.
   */
  drawLimit(roll: number): number {
    const flatWeight = this.#weights[0]! * this.#flatDrawFactor;
    let rest = roll * (1 - this.#weights[0]! + flatWeight);
    for (const [index, { bestLimit }] of this.#hypotheses.entries()) {
      rest -= index === 0 ? flatWeight : this.#weights[index]!;
      if (rest < 0) return bestLimit;
    }
    return this.slots;
  }

  #updateWeights(): void {
    const observed = this.#limitEvidence(EvidenceSource.Observed);
    const tested = this.#limitEvidence(EvidenceSource.Tested);
    const [flat] = this.#hypotheses;
    const flatObserved = flat!.evidenceOf(EvidenceSource.Observed);
    const suggested = observed - flatObserved;
    const flatBonus = Math.max(0, suggested - observedEvidenceMax);
    this.#flatDrawFactor = Math.exp(Math.max(0, suggested - suggestedEvidenceMax) - flatBonus);
    let sum = 0;
    for (let index = 0; index < this.#hypotheses.length; index += 1) {
      const hypothesis = this.#hypotheses[index]!;
      const evidence =
        hypothesis.evidenceOf(EvidenceSource.Observed) -
        observed +
        (hypothesis.evidenceOf(EvidenceSource.Tested) - tested) +
        (hypothesis === flat ? flatBonus : 0);
      this.#weights[index] = hypothesis.prior * Math.exp(evidence);
      sum += this.#weights[index]!;
    }
    for (let index = 0; index < this.#weights.length; index += 1) this.#weights[index]! /= sum;
  }

  /** Bounds the differences of the evidence of a source; returns the highest evidence. */
  #limitEvidence(source: EvidenceSource): number {
    let best = Number.NEGATIVE_INFINITY;
    for (const hypothesis of this.#hypotheses) best = Math.max(best, hypothesis.evidenceOf(source));
    for (const hypothesis of this.#hypotheses) hypothesis.limitEvidence(source, best - evidenceMax);
    return best;
  }
}
