import type { SuspicionPolicy } from './policies.js';

/**
 * Requires two observers and 3 s without refutation, so that one broken link evicts no member.
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
