/** Share of the values that are at most the estimate. */
const estimatedQuantile = 0.9;
/** Step of the estimate as a share of its value. */
const stepShare = 0.05;

/** Estimates a quantile by moving one step with each value (stochastic approximation). */
export class QuantileEstimator {
  #value = 0;

  get value(): number {
    return this.#value;
  }

  add(value: number): void {
    if (this.#value === 0) {
      this.#value = value;
      return;
    }
    const direction = value > this.#value ? estimatedQuantile : estimatedQuantile - 1;
    this.#value *= 1 + stepShare * direction;
  }
}
