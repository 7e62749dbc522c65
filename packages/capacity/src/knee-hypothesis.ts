/**
 * Exponent of the limit that is subtracted from its throughput: of limits with nearly the same throughput
 * the lower one is better, since calls that wait outside of the server are ordered and refused in time.
 */
const limitPrice = 0.1;
/** Samples after which evidence has the weight 1 / e. */
const evidenceMemorySamples = 1500;

/** Why the number of running calls was what it was. */
export enum EvidenceSource {
  /** By the demand and the latency, which other causes of a slow server change as well. */
  Observed = 'observed',
  /** By the limit, which was changed on purpose while calls waited. */
  Tested = 'tested',
}

/** One way in which a server may slow down with the calls that it runs. */
export class KneeHypothesis {
  readonly #evidence = { observed: 0, tested: 0 };

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

  /** Logarithm of the likelihood of calls, up to a constant that all hypotheses have in common. */
  evidenceOf(source: EvidenceSource): number {
    return this.#evidence[source];
  }

  /** Present level of the logarithm of latencies without the part that is due to running calls. */
  get level(): number {
    return this.#level;
  }

  /** Shifts the level of the latencies. */
  shift(logRatio: number): void {
    this.#level += logRatio;
  }

  /** Adds to the evidence of a source; former evidence loses weight. */
  addEvidence(source: EvidenceSource, logLikelihood: number): void {
    this.#evidence[source] += logLikelihood - this.#evidence[source] / evidenceMemorySamples;
  }

  /** Raises the evidence of a source to a minimum. */
  limitEvidence(source: EvidenceSource, evidenceMin: number): void {
    this.#evidence[source] = Math.max(this.#evidence[source], evidenceMin);
  }

  /** Logarithm of the factor by which running calls slow each other down. */
  logStretch(runningCalls: number): number {
    return Math.log(1 + this.steepness * Math.max(0, runningCalls / this.knee - 1));
  }
}
