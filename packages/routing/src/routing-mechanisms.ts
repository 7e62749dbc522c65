import type { DataCentreWeights } from './data-centre-weights.js';
import type { Ejector } from './ejector.js';
import type { MemberSelector } from './member-selector.js';
import type { MemberFilter } from './member-filter.js';
import type { MemberLoads } from './member-loads.js';
import type { RetryBudget } from './retry-budget.js';

/** Mechanisms of the router that a test or a baseline may replace. */
export interface RoutingMechanisms {
  readonly filter: MemberFilter;
  readonly weights: DataCentreWeights;
  readonly loads: MemberLoads;
  readonly ejector: Ejector;
  readonly memberSelector: MemberSelector;
  readonly budget: RetryBudget;
}
