import { mock } from 'node:test';
import { setMonotonicClock } from '@sequoiafield/tables';

/** Resolution of the schedule. */
const stepsPerMs = 10;
/** Turns of the microtask queue after which every promise of one event has settled. */
const microtaskTurnCount = 8;
const startUnixMs = Date.UTC(2026, 0, 1);

/**
 * Runs events in the order of their time, and advances the monotonic and the wall clock of this
 * process with them. Promises settle between events.
 *
 * @example
 * const schedule = new EventScheduler();
 * schedule.scheduleAfter(5, () => answer());
 * await schedule.run(1000);
 * schedule.restoreClocks();
 */
export class EventScheduler {
  readonly #events = new Map<number, (() => void)[]>();

  #step = 0;

  constructor() {
    mock.timers.enable({ apis: ['Date'], now: startUnixMs });
    setMonotonicClock({ nowMs: () => this.nowMs });
  }

  get nowMs(): number {
    return this.#step / stepsPerMs;
  }

  /** Returns the wall-clock time of a point of the schedule. */
  toUnixMs(atMs: number): number {
    return startUnixMs + atMs;
  }

  scheduleAfter(delayMs: number, event: () => void): void {
    const step = this.#step + Math.max(1, Math.round(delayMs * stepsPerMs));
    const eventsAtStep = this.#events.get(step);
    if (eventsAtStep) eventsAtStep.push(event);
    else this.#events.set(step, [event]);
  }

  async run(untilMs: number): Promise<void> {
    while (this.#step < untilMs * stepsPerMs) {
      this.#step += 1;
      if (this.#step % stepsPerMs === 0) mock.timers.setTime(startUnixMs + this.nowMs);
      const events = this.#events.get(this.#step);
      if (!events) continue;
      this.#events.delete(this.#step);
      events.forEach((event) => event());
      for (let turn = 0; turn < microtaskTurnCount; turn += 1) await undefined;
    }
  }

  /** Restores the real clocks of this process. */
  restoreClocks(): void {
    mock.timers.reset();
    setMonotonicClock();
  }
}
