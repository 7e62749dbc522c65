import type { RegisterEntry } from '@sequoiafield/types';
import type { SpreadPolicy } from './policies.js';

/**
 * Push to 4 peers at first sight, repaired by digests.
 *
 * @example
 * createMembership({ ...options, spreadPolicy: new PushAndRepairPolicy() });
 */
export class PushAndRepairPolicy implements SpreadPolicy {
  readonly pushFanOut = 4;

  readonly isRepairEnabled = true;

  replaces(known: RegisterEntry | undefined, heard: RegisterEntry): boolean {
    return !known || heard.rank > known.rank;
  }

  sendLimit(fleetSize: number): number {
    return Math.ceil(Math.log2(fleetSize + 1)) + 2;
  }
}
