import type { AdmissionMechanisms } from '@sequoiafield/admission';
import type { RoutingMechanisms } from '@sequoiafield/routing';

/** Mechanisms of routing and admission that one run uses; new ones for each node. */
export interface Policy {
  readonly name: string;
  readonly routing: () => Partial<RoutingMechanisms>;
  readonly admission: () => Partial<AdmissionMechanisms>;
}
