import type { DataCentreIntent, Snapshot } from '@sequoiafield/types';
import { computeDataCentreWeight, type DataCentreWeights } from './data-centre-weights.js';

/**
 * Weights of data centres with a ramp for restored ones. The intents are indexed once per snapshot.
 *
 * @example
 * new RampedDataCentreWeights().weightOf(snapshot, 'ath-1', Date.now());
 */
export class RampedDataCentreWeights implements DataCentreWeights {
  #snapshot: Snapshot | undefined;

  #intentsByName = new Map<string, DataCentreIntent>();

  weightOf(snapshot: Snapshot, dataCentre: string, nowUnixMs: number): number {
    if (snapshot !== this.#snapshot) {
      this.#snapshot = snapshot;
      this.#intentsByName = new Map(
        snapshot.mesh.dataCentres.map((intent) => [intent.name, intent]),
      );
    }
    const intent = this.#intentsByName.get(dataCentre);
    return intent ? computeDataCentreWeight(intent, nowUnixMs) : 0;
  }
}
