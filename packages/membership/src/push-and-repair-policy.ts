import type { RegisterEntry } from '@sequoiafield/types';
import type { SpreadPolicy } from './policies.js';

/**
 * Pushes each new urgent item to 5 peers; comparing registers repairs what a push missed.
 *
 * @example
 * createMembership({ ...options, spreadPolicy: new PushAndRepairPolicy() });
 */
export class PushAndRepairPolicy implements SpreadPolicy {
  readonly pushFanOut = 5;

  readonly isRepairEnabled = true;

  replaces(known: RegisterEntry | undefined, received: RegisterEntry): boolean {
    return !known || received.rank > known.rank;
  }

  sendLimit(fleetSize: number): number {
    return Math.ceil(Math.log2(fleetSize + 1)) + 2;
  }
}
