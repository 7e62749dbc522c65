import { RefusalReason, type CallRefusal, type OrdersView } from '@sequoiafield/types';
import { createRefusal } from './create-refusal.js';
import type { LocalServer } from './local-server-tracker.js';
import { RateWindow } from './rate-window.js';

/** Window in which requests to a cold server are counted; a little over the second of its limit. */
const coldWindowMs = 1050;
/** Extra time that a server counts as cold, for the delivery time of its heartbeat. */
const coldMarginMs = 150;

/**
 * Limits the calls that a cold backend server gets in any second. Calls count while it is warm as well,
 * since it may turn cold at any moment.
 */
export class ColdLimiter {
  readonly #requestWindow = new RateWindow(coldWindowMs);

  #evacuationEndedAtMs = Number.NEGATIVE_INFINITY;

  #wasEvacuated = false;

  constructor(
    private readonly dataCentre: string,
    private readonly orders: OrdersView,
  ) {}

  /** Notes the end of an evacuation, after which the server counts as cold until a heartbeat. */
  trackEvacuation(nowMs: number): void {
    const isEvacuated = this.orders.current().evacuatedDataCentres.has(this.dataCentre);
    if (this.#wasEvacuated && !isEvacuated) this.#evacuationEndedAtMs = nowMs;
    this.#wasEvacuated = isEvacuated;
  }

  /** Counts a call towards the limit; returns a refusal if a cold server has reached it. */
  count(server: LocalServer, nowMs: number): CallRefusal | undefined {
    const limit = this.#limit(server);
    if (this.#isCold(server, nowMs) && this.#requestWindow.count(nowMs) >= limit) {
      const retryAfterMs = this.#requestWindow.waitMs(nowMs, limit);
      return createRefusal(RefusalReason.ColdServer, 'the cold server has its share', retryAfterMs);
    }
    this.#requestWindow.add(nowMs);
    return undefined;
  }

  #isCold(server: LocalServer, nowMs: number): boolean {
    if (nowMs < server.coldUntilMs + coldMarginMs && server.coldUntilMs > 0) return true;
    // A server may have turned cold during an evacuation, which only a later heartbeat can show.
    return server.heartbeatAtMs < this.#evacuationEndedAtMs + coldMarginMs;
  }

  #limit(server: LocalServer): number {
    const { configuration } = this.orders.current();
    const service = configuration?.services.get(server.heartbeat.service);
    // Without a configuration the limit is unknown; one request per window does no harm.
    return Math.max(1, Math.floor(service?.coldRequestsPerS ?? 1));
  }
}
