import { MemberState } from '@sequoiafield/types';
import {
  EjectionState,
  MemberEligibility,
  type MemberLoads,
  type RoutingMechanisms,
} from '../index.js';

export const noEjector: RoutingMechanisms['ejector'] = {
  ejectionStateOf: () => EjectionState.NotEjected,
  ejectionSeverityOf: () => 0,
  begin: () => {},
  report: () => {},
  prune: () => {},
};
export const noFilter: RoutingMechanisms['filter'] = {
  eligibilityOf: () => MemberEligibility.Eligible,
};
/** Does not fail open: a suspect or dead member gets no calls. */
export const failClosedFilter: RoutingMechanisms['filter'] = {
  eligibilityOf: (row) =>
    row.state === MemberState.Alive ? MemberEligibility.Eligible : MemberEligibility.Ineligible,
};
export const noWeights: RoutingMechanisms['weights'] = { weightOf: () => 1 };

/** Uses reports only: `near-1` always reports that it is idle. */
export const reportOnlyLoads: MemberLoads = {
  begin: () => {},
  report: () => {},
  loadRatioOf: (memberId) => (memberId === 'near-1' ? 0 : 0.5),
  prune: () => {},
};
