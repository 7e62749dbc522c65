import { MemberState } from '@sequoiafield/types';
import {
  EjectionStanding,
  MemberStanding,
  type MemberLoads,
  type RoutingMechanisms,
} from '../index.js';

export const noEjector: RoutingMechanisms['ejector'] = {
  standingOf: () => EjectionStanding.In,
  badnessOf: () => 0,
  begin: () => {},
  report: () => {},
  prune: () => {},
};
export const noFilter: RoutingMechanisms['filter'] = { standingOf: () => MemberStanding.Good };
/** Does not fail open: a doubted member gets nothing. */
export const strictFilter: RoutingMechanisms['filter'] = {
  standingOf: (row) =>
    row.state === MemberState.Alive ? MemberStanding.Good : MemberStanding.Never,
};
export const noWeights: RoutingMechanisms['weights'] = { weightOf: () => 1 };

/** Believes reports only: `near-1` always reports that it is idle. */
export const reportedLoads: MemberLoads = {
  begin: () => {},
  report: () => {},
  ratioOf: (memberId) => (memberId === 'near-1' ? 0 : 0.5),
  prune: () => {},
};
