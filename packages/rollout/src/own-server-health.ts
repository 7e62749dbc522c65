/** Time over which recent calls are counted. */
const recentMs = 10_000;
/** Fewest recent calls that say anything. */
const recentCallsMin = 5;
/** Recent failure rate above which this node calls itself sick, if it is also well above usual. */
const sickRate = 0.02;
/** How far above the usual rate a sick node is. */
const sickFactor = 3;

/** What one node says about the calls that its own backend server ended lately. */
export enum HealthState {
  Unknown = 0,
  Healthy = 1,
  Unhealthy = 2,
}

/**
 * Failure rate of this node's own backend server, lately and usually. Other nodes ask for it before
 * they blame a version, to recognise a general outage.
 *
 * @example
 * health.record(hasFailed, monotonicNowMs());
 * health.state(monotonicNowMs()); // HealthState.Healthy
 */
export class OwnServerHealth {
  #usual = { calls: 0, failures: 0 };

  #recent: { atMs: number; calls: number; failures: number }[] = [];

  record(hasFailed: boolean, nowMs: number): void {
    let second = this.#recent[this.#recent.length - 1];
    if (!second || nowMs - second.atMs >= 1000) {
      second = { atMs: nowMs, calls: 0, failures: 0 };
      this.#recent.push(second);
      this.#forget(nowMs);
    }
    second.calls += 1;
    if (hasFailed) second.failures += 1;
  }

  state(nowMs: number): HealthState {
    this.#forget(nowMs);
    const calls = this.#recent.reduce((sum, second) => sum + second.calls, 0);
    const failures = this.#recent.reduce((sum, second) => sum + second.failures, 0);
    if (calls < recentCallsMin) return HealthState.Unknown;
    const usualRate = (this.#usual.failures + 0.1) / (this.#usual.calls + 20);
    const limit = Math.max(sickRate, sickFactor * usualRate);
    return failures >= 2 && failures / calls > limit ? HealthState.Unhealthy : HealthState.Healthy;
  }

  /** Moves seconds that are no longer recent into the usual counts. */
  #forget(nowMs: number): void {
    while (this.#recent[0] && nowMs - this.#recent[0].atMs > recentMs) {
      const old = this.#recent.shift();
      this.#usual.calls += old?.calls ?? 0;
      this.#usual.failures += old?.failures ?? 0;
    }
  }
}
