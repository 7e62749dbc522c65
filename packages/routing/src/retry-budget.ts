/** Bounds the retries of a service, so that a failure does not multiply the load. */
export interface RetryBudget {
  recordFirstAttempt(service: string): void;
  /** Takes one retry; `budgetPercent` is in percent of first attempts. */
  take(service: string, budgetPercent: number): boolean;
}

/** Retries that a service may do at once before first attempts have to pay for them. */
export const retryBurst = 10;
