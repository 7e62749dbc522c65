import type { RandomSource, System } from '@sequoiafield/tables';
import type {
  LoadReport,
  MemberView,
  RolloutView,
  Router,
  SnapshotView,
} from '@sequoiafield/types';
import { CountedMemberLoads } from './counted-member-loads.js';
import { DefaultRouter } from './default-router.js';
import { StateMemberFilter } from './member-filter.js';
import { OutlierEjector } from './outlier-ejector.js';
import { RampedDataCentreWeights } from './ramped-data-centre-weights.js';
import type { RoutingMechanisms } from './routing-mechanisms.js';
import { TokenRetryBudget } from './token-retry-budget.js';
import { TwoRandomChoicesSelector } from './two-random-choices-selector.js';

/** Options of `createRouting`. */
export interface RoutingOptions {
  readonly selfId: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly snapshot: SnapshotView;
  readonly members: MemberView;
  /** Without it, no backend version counts as rolled back. */
  readonly rollout?: Pick<RolloutView, 'isAllowed'>;
  readonly random: RandomSource;
  /** Load of the own instance; without it only this caller's own calls count. */
  readonly ownLoad?: () => LoadReport;
  /** Replaces single mechanisms, for baselines and for tests that show what each one prevents. */
  readonly mechanisms?: Partial<RoutingMechanisms>;
}

/** Router and the systems that the tick loop must run for it. */
export interface RoutingComponents {
  readonly router: Router;
  readonly systems: readonly System[];
}

/**
 * Creates the router of one node. It never throws; `choose` returns undefined when no member may
 * get the call.
 *
 * @example
 * const { router, systems } = createRouting({
 *   selfId, dataCentre, region, snapshot, members, rollout, random,
 *   ownLoad: () => admission.load(),
 * });
 * const member = router.choose('lager', 'v1', new Set());
 */
export const createRouting = (options: RoutingOptions): RoutingComponents => {
  const { selfId, dataCentre, region, snapshot, members, random } = options;
  const router = new DefaultRouter(
    { selfId, dataCentre, region },
    { snapshot, members, rollout: options.rollout ?? { isAllowed: () => true } },
    {
      filter: new StateMemberFilter(),
      weights: new RampedDataCentreWeights(),
      loads: new CountedMemberLoads(selfId, options.ownLoad),
      ejector: new OutlierEjector(random),
      memberSelector: new TwoRandomChoicesSelector(random),
      budget: new TokenRetryBudget(),
      ...options.mechanisms,
    },
  );
  return { router, systems: [router] };
};
