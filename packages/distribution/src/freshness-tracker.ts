import { monotonicNowMs, type System, type Tick } from '@sequoiafield/tables';
import { stalePauseMs } from '@sequoiafield/types';

/**
 * Tracks whether the view of this node is stale: from a pause of its loop until a gossip exchange or a
 * store read that began after the pause has refreshed it.
 *
 * @example
 * if (freshness.isStale()) refuse('stale-view');
 */
export class FreshnessTracker implements System {
  readonly name = 'freshness';

  #lastTickAtMs = monotonicNowMs();

  #staleSinceMs: number | undefined;

  constructor(private readonly lastGossipAckAtMs: () => number) {}

  run(tick: Tick): void {
    if (tick.wasPaused) this.#staleSinceMs = tick.nowMs;
    this.#lastTickAtMs = tick.nowMs;
  }

  /** Records a successful store read; it refreshes the view if it started after the pause. */
  recordStoreRead(startedAtMs: number): void {
    if (this.#staleSinceMs !== undefined && startedAtMs >= this.#staleSinceMs) {
      this.#staleSinceMs = undefined;
    }
  }

  isStale(): boolean {
    // After a pause a call may arrive before the first tick.
    if (monotonicNowMs() - this.#lastTickAtMs > stalePauseMs) return true;
    if (this.#staleSinceMs === undefined) return false;
    if (this.lastGossipAckAtMs() > this.#staleSinceMs) this.#staleSinceMs = undefined;
    return this.#staleSinceMs !== undefined;
  }
}
