import type { AttemptGuard } from './attempt-guard.js';
import { ExactBodyCheck, type BodyCheck } from './body-check.js';
import { IdMatcher, type ExchangeMatcher } from './exchange-matcher.js';
import { LinkClock, type PeerClock } from './link-clock.js';
import { SafeMovePolicy, type MovePolicy } from './move-policy.js';
import { SeenAttempts } from './seen-attempts.js';

/**
 * Mechanisms that the invariants of a link rest on. Tests replace single ones to show which violation
 * each prevents.
 */
export interface TransportMechanisms {
  /** Which attempts may start. */
  readonly guard: AttemptGuard;
  /** Which exchange a frame belongs to. */
  readonly matcher: ExchangeMatcher;
  /** Whether a body is complete. */
  readonly bodyCheck: BodyCheck;
  /** Which attempts of a lost connection are sent again. */
  readonly movePolicy: MovePolicy;
  /** Makes the clock of one connection. */
  createClock(): PeerClock;
}

/**
 * Mechanisms of a node.
 *
 * @example
 * const mechanisms = createMechanisms(self.incarnation);
 */
export const createMechanisms = (selfIncarnation: number): TransportMechanisms => ({
  guard: new SeenAttempts(selfIncarnation),
  matcher: new IdMatcher(),
  bodyCheck: new ExactBodyCheck(),
  movePolicy: new SafeMovePolicy(),
  createClock: () => new LinkClock(),
});
