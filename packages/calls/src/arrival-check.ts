import type { IncomingMessage } from 'node:http';
import { monotonicNowMs } from '@sequoiafield/tables';
import {
  bodyMaxBytes,
  KeyVerdict,
  RefusalReason,
  type CalledRoute,
  type CallRefusal,
  type ClientAccount,
} from '@sequoiafield/types';
import type { CallProtocol } from './call-protocol.js';
import type { CallProxyOptions } from './call-proxy-options.js';
import { readKey } from './inbound-request.js';
import { createNotRunRefusal } from './refusals.js';

/** Retry hint of a node that does not serve yet; one that starts gets its configuration in this time. */
const notServingRetryAfterMs = 600;
/** Retry hint of a node that is about to get a newer configuration, which takes one exchange. */
const outdatedRetryAfterMs = 200;

/** Result of the check of a request's key; a request with a refusal must not run. */
export interface CheckedKey {
  readonly refusal?: CallRefusal;
  readonly account?: ClientAccount;
}

/** Checks by which a node refuses requests of callers at once, before it tries any member. */
export class ArrivalCheck {
  /** Time at which this node ends, in ms on the monotonic clock. */
  endsAtMs = Number.POSITIVE_INFINITY;

  constructor(
    private readonly options: Pick<
      CallProxyOptions,
      'snapshots' | 'random' | 'clientLimits' | 'keyChecker'
    >,
    private readonly protocol: Pick<CallProtocol, 'keyHeader'>,
  ) {}

  get bodyMaxBytes(): number {
    return this.options.clientLimits?.()?.bodyMaxBytes ?? bodyMaxBytes;
  }

  /** Refuses requests while this node does not serve. */
  checkServing(): CallRefusal | undefined {
    if (this.options.snapshots.isServing()) return undefined;
    const detail = 'the node holds no current configuration';
    return this.#createNotReadyRefusal(detail, notServingRetryAfterMs);
  }

  /** Refuses a request for the length of its body. */
  checkBodyLength(request: IncomingMessage): CallRefusal | undefined {
    if (Number(request.headers['content-length'] ?? 0) <= this.bodyMaxBytes) return undefined;
    const detail = `the body exceeds ${this.bodyMaxBytes} bytes`;
    return createNotRunRefusal(RefusalReason.BodyTooLarge, detail);
  }

  /** Returns the account of a request, or the refusal of one whose route needs another key. */
  checkKey(request: IncomingMessage, route: CalledRoute): CheckedKey {
    const { keyChecker } = this.options;
    if (!keyChecker) return {};
    const { verdict, account } = keyChecker.check(readKey(request, this.protocol), route);
    if (verdict === KeyVerdict.Accepted) return { account };
    if (verdict === KeyVerdict.Undecided) {
      const detail = 'the key is not known until the newest configuration is active';
      return { refusal: this.#createNotReadyRefusal(detail, outdatedRetryAfterMs) };
    }
    const detail = verdict === KeyVerdict.Missing ? 'the key is missing' : 'the key is unknown';
    return { refusal: createNotRunRefusal(RefusalReason.UnknownKey, detail) };
  }

  /** Whether a body of a size that is accepted has not been read to its end. */
  isBodyUnread(request: IncomingMessage): boolean {
    const lengthBytes = Number(request.headers['content-length'] ?? 0);
    return !request.complete && lengthBytes <= this.bodyMaxBytes;
  }

  /**
   * Refuses a request without a route. Callers do not repeat one whose route is missing, so that a node
   * that is behind asks them to come back instead.
   */
  refuseWithoutRoute(method: string, path: string): CallRefusal {
    if (!this.options.snapshots.isOutdated?.()) {
      return createNotRunRefusal(RefusalReason.NoRoute, `no route for ${method} ${path}`);
    }
    const detail = `no route for ${method} ${path} until the newest configuration is active`;
    return this.#createNotReadyRefusal(detail, outdatedRetryAfterMs);
  }

  /** Refuses a call whose caller waits no longer, or that may still be running when this node ends. */
  checkDeadline(route: CalledRoute, deadlineAtMs: number): CallRefusal | undefined {
    const nowMs = monotonicNowMs();
    if (deadlineAtMs <= nowMs) {
      return createNotRunRefusal(RefusalReason.DeadlinePassed, 'the caller waits no longer');
    }
    const { isIdempotent, targetLatencyMs = Number.POSITIVE_INFINITY } = route;
    // A call that is cut off may run again if it is idempotent.
    const usualEndAtMs = isIdempotent ? nowMs + targetLatencyMs : deadlineAtMs;
    if (Math.min(usualEndAtMs, deadlineAtMs) <= this.endsAtMs) return undefined;
    const detail = 'the node is stopping and may end before the call';
    return createNotRunRefusal(RefusalReason.Draining, detail);
  }

  #createNotReadyRefusal(detail: string, meanRetryAfterMs: number): CallRefusal {
    const retryAfterMs = meanRetryAfterMs * (0.75 + 0.5 * this.options.random.next());
    return { ...createNotRunRefusal(RefusalReason.NotReady, detail), retryAfterMs };
  }
}
