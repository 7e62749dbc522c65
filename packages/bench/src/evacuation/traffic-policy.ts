import type { AdmissionMechanisms } from '@sequoiafield/admission';
import type { RoutingMechanisms } from '@sequoiafield/routing';

/** Mechanisms of routing and admission that one run uses; new ones for each node. */
export interface TrafficPolicy {
  readonly name: string;
  readonly createRoutingMechanisms: () => Partial<RoutingMechanisms>;
  readonly createAdmissionMechanisms: () => Partial<AdmissionMechanisms>;
}
