/** Share of calls whose service time the usual time covers. */
const usualQuantile = 0.9;
/** Step of the quantile estimate, as a part of its value. */
const quantileStep = 0.05;

/** Estimate of a quantile that moves a step with each value (stochastic approximation). */
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
    const direction = value > this.#value ? usualQuantile : usualQuantile - 1;
    this.#value *= 1 + quantileStep * direction;
  }
}
