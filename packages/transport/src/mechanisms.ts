import type { AttemptGuard } from './attempt-guard.js';
import { ExactBodyCheck, type BodyCheck } from './body-check.js';
import { IdMatcher, type ExchangeMatcher } from './exchange-matcher.js';
import { LinkClock, type PeerClock } from './link-clock.js';
import { SafeResendPolicy, type ResendPolicy } from './resend-policy.js';
import { AtMostOnceAttemptGuard } from './at-most-once-attempt-guard.js';

/**
 * Mechanisms that the invariants of a link rest on. Tests replace single ones to show which violation
 * each prevents.
 */
export interface TransportMechanisms {
  /** Which attempts may start. */
  readonly attemptGuard: AttemptGuard;
  /** Which exchange a frame belongs to. */
  readonly matcher: ExchangeMatcher;
  /** Whether a body is complete. */
  readonly bodyCheck: BodyCheck;
  /** Which attempts of a lost connection are sent again. */
  readonly resendPolicy: ResendPolicy;
  /** Makes the clock of one connection. */
  createClock(): PeerClock;
}

/**
 * Mechanisms of a node.
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
