/** Length of the window of recent calls. */
const recentWindowMs = 10_000;
/** Fewest recent calls from which a state is derived. */
const recentCallsMin = 5;
/** Recent failure rate above which a server is unhealthy, if the rate is also well above usual. */
const unhealthyRateMin = 0.02;
/** Smallest ratio of the recent failure rate of an unhealthy server to its usual rate. */
const unhealthyFactor = 3;

/** Health of a node's own backend server by the calls that it ended recently. */
export enum HealthState {
  Unknown = 0,
  Healthy = 1,
  Unhealthy = 2,
}

/**
 * Compares the recent with the usual failure rate of this node's own backend server. Other nodes
 * query the state before they roll back a version, to recognise a general outage.
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
      this.#expireRecent(nowMs);
    }
    second.calls += 1;
    if (hasFailed) second.failures += 1;
  }

  state(nowMs: number): HealthState {
    this.#expireRecent(nowMs);
    const calls = this.#recent.reduce((sum, second) => sum + second.calls, 0);
    const failures = this.#recent.reduce((sum, second) => sum + second.failures, 0);
    if (calls < recentCallsMin) return HealthState.Unknown;
    const usualRate = (this.#usual.failures + 0.1) / (this.#usual.calls + 20);
    const unhealthyRate = Math.max(unhealthyRateMin, unhealthyFactor * usualRate);
    return failures >= 2 && failures / calls > unhealthyRate
      ? HealthState.Unhealthy
      : HealthState.Healthy;
  }

  /** Adds seconds that are no longer recent to the usual counts. */
  #expireRecent(nowMs: number): void {
    while (this.#recent[0] && nowMs - this.#recent[0].atMs > recentWindowMs) {
      const expired = this.#recent.shift();
      this.#usual.calls += expired?.calls ?? 0;
      this.#usual.failures += expired?.failures ?? 0;
    }
  }
}
