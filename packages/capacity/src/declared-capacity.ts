import { monotonicNowMs } from '@sequoiafield/tables';
import type { BegunCall, CapacityEstimator } from './capacity-estimator.js';

/**
 * Capacity of a server that takes as many calls as its slots, as the operators declare it.
 *
 * @example
 * new DeclaredCapacity().limit(6); // 6
 */
export class DeclaredCapacity implements CapacityEstimator {
  readonly speed = 1;

  limit(slots: number): number {
    return slots;
  }

  admissionLimit(slots: number): number {
    return slots;
  }

  isSlow(): boolean {
    return false;
  }

  expectedMs(): undefined {
    return undefined;
  }

  begin(route: string): BegunCall {
    return { route, beganAtMs: monotonicNowMs(), slotTimeAtBeginMs: 0 };
  }

  end(): void {
    // The declared capacity does not depend on calls.
  }
}
