import { DataCentreState } from '@sequoiafield/types';
import type { TrafficPolicy } from './traffic-policy.js';
import { RoundRobin } from './round-robin.js';

/** The policy of the product. */
export const productPolicy: TrafficPolicy = {
  name: 'product',
  createRoutingMechanisms: () => ({}),
  createAdmissionMechanisms: () => ({}),
};

/**
 * Round robin, without ramps of data centres and cold backend servers; otherwise as the product.
 */
export const baselinePolicy: TrafficPolicy = {
  name: 'baseline',
  createRoutingMechanisms: () => ({
    memberSelector: new RoundRobin(),
    weights: {
      weightOf: (snapshot, dataCentre) => {
        const intent = snapshot.mesh.dataCentres.find(({ name }) => name === dataCentre);
        return intent?.state === DataCentreState.InService ? 1 : 0;
      },
    },
  }),
  createAdmissionMechanisms: () => ({
    limiter: {
      slotsNow: (slots) => slots,
      recordEnded: () => {},
      beginColdStart: () => {},
      step: () => {},
    },
  }),
};
