import type { IncomingMessage } from 'node:http';
import { monotonicNowMs } from '@sequoiafield/tables';
import {
  bodyMaxBytes,
  RefusalReason,
  type CalledRoute,
  type CallRefusal,
  type RouteMatch,
} from '@sequoiafield/types';
import type { CallProxyOptions } from './call-proxy-options.js';
import { createNotRunRefusal } from './refusals.js';

/** Retry hint of a node that does not serve yet; one that starts gets its configuration in this time. */
const notServingRetryAfterMs = 600;
/** Retry hint of a node that is about to get a newer configuration, which takes one exchange. */
const outdatedRetryAfterMs = 200;

/** Checks by which a node refuses requests of callers at once, before it tries any member. */
export class ArrivalCheck {
  /** Time at which this node ends, in ms on the monotonic clock. */
  endsAtMs = Number.POSITIVE_INFINITY;

  constructor(
    private readonly options: Pick<CallProxyOptions, 'snapshots' | 'random' | 'clientLimits'>,
  ) {}

  get bodyMaxBytes(): number {
    return this.options.clientLimits?.()?.bodyMaxBytes ?? bodyMaxBytes;
  }

  /** Refuses a request while this node does not serve, or for the length of its body. */
  checkRequest(request: IncomingMessage, match: RouteMatch | undefined): CallRefusal | undefined {
    if (!this.options.snapshots.isServing()) {
      const detail = 'the node holds no current configuration';
      return this.#createNotReadyRefusal(detail, notServingRetryAfterMs);
    }
    if (match && Number(request.headers['content-length'] ?? 0) > this.bodyMaxBytes) {
      const detail = `the body exceeds ${this.bodyMaxBytes} bytes`;
      return createNotRunRefusal(RefusalReason.BodyTooLarge, detail);
    }
    return undefined;
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
