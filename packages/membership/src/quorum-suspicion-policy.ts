import type { SuspicionPolicy } from './policies.js';

/**
 * Two observers and 3 s, so that one broken link evicts nobody.
 *
 * @example
 * createMembership({ ...options, suspicionPolicy: new QuorumSuspicionPolicy() });
 */
export class QuorumSuspicionPolicy implements SuspicionPolicy {
  readonly indirectProbes = 3;

  readonly suspicionTimeoutMs = 3000;

  observersNeeded(fleetSize: number): number {
    return fleetSize <= 3 ? 1 : 2;
  }
}
