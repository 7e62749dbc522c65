import type { AttemptGuard } from './attempt-guard.js';
import type { BodyMemoryBudget } from './body-memory-budget.js';
import { ExactBodyCheck, type BodyCheck } from './body-check.js';
import { IdMatcher, type ExchangeMatcher } from './exchange-matcher.js';
import { LinkClock, type PeerClock } from './link-clock.js';
import { SafeResendPolicy, type ResendPolicy } from './resend-policy.js';
import { AtMostOnceAttemptGuard } from './at-most-once-attempt-guard.js';

/**
 * Mechanisms that enforce the invariants of a link. Tests replace one at a time to show which
 * violation it prevents.
 */
export interface TransportMechanisms {
  /** Decides which attempts may start. */
  readonly attemptGuard: AttemptGuard;
  /** Finds the exchange that a frame belongs to. */
  readonly matcher: ExchangeMatcher;
  /** Decides whether a body is complete. */
  readonly bodyCheck: BodyCheck;
  /** Decides which attempts of a lost connection are sent again. */
  readonly resendPolicy: ResendPolicy;
  /** Counts the bytes of request bodies that were received and not consumed; left out to count none. */
  readonly bodyBudget?: BodyMemoryBudget;
  /** Creates the clock of one connection. */
  createClock(): PeerClock;
}

/**
 * Creates the mechanisms that a node uses in production.
 *
 * @example
 * const mechanisms = createTransportMechanisms(self.incarnation);
 */
export const createTransportMechanisms = (selfIncarnation: number): TransportMechanisms => ({
  attemptGuard: new AtMostOnceAttemptGuard(selfIncarnation),
  matcher: new IdMatcher(),
  bodyCheck: new ExactBodyCheck(),
  resendPolicy: new SafeResendPolicy(),
  createClock: () => new LinkClock(),
});
