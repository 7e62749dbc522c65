import { Table } from '@sequoiafield/tables';
import { retryBurstMax, type RetryBudget } from './retry-budget.js';

interface BudgetRow {
  /** Unspent first attempts; one retry costs `100 / budgetPercent` of them. */
  credit: number;
}

/**
 * Token bucket per service: each first attempt adds credit and each retry uses it. Over any period
 * retries stay under `budgetPercent` of first attempts plus `retryBurstMax`.
 *
 * @example
 * const budget = new TokenRetryBudget();
 * budget.recordFirstAttempt('settlement');
 * if (budget.takeRetry('settlement', 10)) retry();
 */
export class TokenRetryBudget implements RetryBudget {
  readonly #rows = new Table<BudgetRow>('budgets');

  recordFirstAttempt(service: string): void {
    this.#ensureRow(service).credit += 1;
  }

  takeRetry(service: string, budgetPercent: number): boolean {
    if (budgetPercent <= 0) return false;
    const cost = 100 / budgetPercent;
    const row = this.#ensureRow(service);
    row.credit = Math.min(row.credit, retryBurstMax * cost);
    if (row.credit < cost) return false;
    row.credit -= cost;
    return true;
  }

  #ensureRow(service: string): BudgetRow {
    const known = this.#rows.get(service);
    if (known) return known;
    // Starts with a full burst; `takeRetry` reduces it to the bucket's size.
    const row = { credit: Number.MAX_SAFE_INTEGER };
    this.#rows.set(service, row);
    return row;
  }
}
