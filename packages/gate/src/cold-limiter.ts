import {
  RefusalReason,
  type CallRefusal,
  type MeshService,
  type OrdersView,
} from '@sequoiafield/types';
import { createRefusal } from './create-refusal.js';
import type { LocalServer } from './local-server-tracker.js';
import { RateWindow } from './rate-window.js';

/** Window in which requests to a cold server are counted; a little over the second of its limit. */
const coldWindowMs = 1050;
/** Extra time that a server counts as cold, for the delivery time of its heartbeat or its answer. */
const coldMarginMs = 150;

/**
 * Limits the calls that a cold backend server gets in any second. Calls count while it is warm as well,
 * since it may turn cold at any moment.
 *
 * A server that has ended may have started again, and heartbeats sent before do not tell whether it is
 * cold. It counts as cold until its cold start is over, counted from its first answer, or until a
 * heartbeat of the later incarnation.
 */
export class ColdLimiter {
  readonly #requestWindow = new RateWindow(coldWindowMs);

  #evacuationEndedAtMs = Number.NEGATIVE_INFINITY;

  #wasEvacuated = false;

  /** Time until which the server may be cold after a start; infinite until its first answer. */
  #startedColdUntilMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly dataCentre: string,
    private readonly orders: OrdersView,
  ) {}

  /** Records the end of an evacuation, during which the server may have turned cold. */
  trackEvacuation(nowMs: number): void {
    const isEvacuated = this.orders.current().evacuatedDataCentres.has(this.dataCentre);
    if (this.#wasEvacuated && !isEvacuated) this.#evacuationEndedAtMs = nowMs;
    this.#wasEvacuated = isEvacuated;
  }

  /** Records that nothing listened at the server's port. */
  recordServerEnded(): void {
    this.#startedColdUntilMs = Number.POSITIVE_INFINITY;
  }

  /** Records an answer; the server started before it. */
  recordAnswer(server: LocalServer, nowMs: number): void {
    if (this.#startedColdUntilMs !== Number.POSITIVE_INFINITY) return;
    const coldStartMs = this.#serviceOf(server)?.coldStartMs ?? 0;
    this.#startedColdUntilMs = nowMs + coldStartMs + coldMarginMs;
  }

  /** Records a new incarnation, whose heartbeats tell whether it is cold. */
  recordIncarnation(): void {
    this.#startedColdUntilMs = Number.NEGATIVE_INFINITY;
  }

  /** Counts a call towards the limit; returns a refusal if a cold server has reached it. */
  count(server: LocalServer, nowMs: number): CallRefusal | undefined {
    const limit = this.#limit(server);
    const isLimited = limit !== undefined && this.isCold(server, nowMs);
    if (isLimited && this.#requestWindow.count(nowMs) >= limit) {
      const retryAfterMs = this.#requestWindow.waitMs(nowMs, limit);
      return createRefusal(RefusalReason.ColdServer, 'the cold server has its share', retryAfterMs);
    }
    this.#requestWindow.add(nowMs);
    return undefined;
  }

  /** Whether the server is cold, or may be. */
  isCold(server: LocalServer, nowMs: number): boolean {
    if (nowMs < this.#startedColdUntilMs) return true;
    if (nowMs < server.coldUntilMs + coldMarginMs && server.coldUntilMs > 0) return true;
    // A heartbeat that arrives after an evacuation may have been sent before the server turned cold.
    const coldStartMs = this.#serviceOf(server)?.coldStartMs ?? 0;
    return nowMs < this.#evacuationEndedAtMs + coldStartMs + coldMarginMs;
  }

  /** Returns the limit of requests per window, or undefined if the service has none. */
  #limit(server: LocalServer): number | undefined {
    const service = this.#serviceOf(server);
    // Without a configuration the limit is unknown; one request per window does no harm.
    if (!service) return 1;
    const { coldRequestsPerS } = service;
    return coldRequestsPerS === undefined ? undefined : Math.max(1, Math.floor(coldRequestsPerS));
  }

  #serviceOf({ heartbeat }: LocalServer): MeshService | undefined {
    return this.orders.current().configuration?.services.get(heartbeat.service);
  }
}
