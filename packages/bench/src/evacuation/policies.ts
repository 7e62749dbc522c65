import { DataCentreState } from '@sequoiafield/types';
import type { Policy } from './policy.js';
import { RoundRobin } from './round-robin.js';

/** The policy of the product. */
export const productPolicy: Policy = {
  name: 'product',
  routing: () => ({}),
  admission: () => ({}),
};

/** No ramp of data centres and of cold backend servers, round robin; all else as the product. */
export const baselinePolicy: Policy = {
  name: 'baseline',
  routing: () => ({
    choice: new RoundRobin(),
    weights: {
      weightOf: (snapshot, dataCentre) => {
        const intent = snapshot.mesh.dataCentres.find(({ name }) => name === dataCentre);
        return intent?.state === DataCentreState.In ? 1 : 0;
      },
    },
  }),
  admission: () => ({
    limiter: {
      slotsNow: (slots) => slots,
      recordEnded: () => {},
      restart: () => {},
      step: () => {},
    },
  }),
};
