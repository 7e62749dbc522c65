/** Bounds the retries of a service, so that a failure does not multiply the load. */
export interface RetryBudget {
  recordFirstAttempt(service: string): void;
  /** Takes one retry if the budget allows it; `budgetPercent` is in percent of first attempts. */
  takeRetry(service: string, budgetPercent: number): boolean;
}

/** Retries that a service may send in a burst; further ones need the credit of first attempts. */
export const retryBurstMax = 10;
