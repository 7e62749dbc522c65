/**
 * Exponent of the limit that is subtracted from its throughput: of limits with nearly the same throughput
 * the lower one is better, since calls that wait outside of the server are ordered and refused in time.
 */
const limitPrice = 0.1;
/** Samples after which evidence has the weight 1 / e. */
const evidenceMemorySamples = 1500;

/** One way in which a server may slow down with the calls that it runs. */
export class KneeHypothesis {
  #evidence = 0;

  #level = 0;

  /** Value of each limit from 1 on, relative to the best. */
  readonly values: readonly number[];

  readonly bestLimit: number;

  constructor(
    private readonly knee: number,
    private readonly steepness: number,
    readonly prior: number,
    slots: number,
  ) {
    const limits = Array.from({ length: slots }, (_, index) => index + 1);
    const values = limits.map(
      (limit) => limit ** (1 - limitPrice) / Math.exp(this.logStretch(limit)),
    );
    const best = Math.max(...values);
    this.values = values.map((value) => value / best);
    this.bestLimit = this.values.indexOf(1) + 1;
  }

  /** Logarithm of the likelihood, up to a constant that all hypotheses have in common. */
  get evidence(): number {
    return this.#evidence;
  }

  /** Present level of the logarithm of latencies without the part that is due to running calls. */
  get level(): number {
    return this.#level;
  }

  /** Adds to the level and to the evidence; former evidence loses weight. */
  update(levelChange: number, logLikelihood: number): void {
    this.#level += levelChange;
    if (logLikelihood === 0) return;
    this.#evidence += logLikelihood - this.#evidence / evidenceMemorySamples;
  }

  /** Raises the evidence to a minimum. */
  limitEvidence(evidenceMin: number): void {
    this.#evidence = Math.max(this.#evidence, evidenceMin);
  }

  /** Logarithm of the factor by which running calls slow each other down. */
  logStretch(runningCalls: number): number {
    return Math.log(1 + this.steepness * Math.max(0, runningCalls / this.knee - 1));
  }
}
