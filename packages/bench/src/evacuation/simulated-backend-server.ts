import type { RandomSource } from '@sequoiafield/tables';
import type { EventScheduler } from './event-scheduler.js';
import { slotsPerServer } from './user-workloads.js';

/** Time from cold to warm. */
const coldMs = 8000;
/** Service time of a cold server relative to a warm one. */
const coldFactor = 3;
/** Service time varies by this part in both directions. */
const jitter = 0.3;

/**
 * Backend server with a cold start: at first it handles one call at a time and takes three times
 * as long; calls over its capacity slow it down in proportion.
 *
 * @example
 * new SimulatedBackendServer(schedule, random, 20).startCall('r-1', () => done());
 */
export class SimulatedBackendServer {
  startedAtMs = -coldMs;

  isRunning = true;

  lastCallStartedAtMs = Number.NEGATIVE_INFINITY;

  /** Highest running calls per call that it could handle. */
  overloadMax = 0;

  readonly startedRequestIds: string[] = [];

  #running = 0;

  constructor(
    private readonly schedule: EventScheduler,
    private readonly random: RandomSource,
    private readonly serviceMs: number,
  ) {}

  stop(): void {
    this.isRunning = false;
  }

  startCold(): void {
    this.isRunning = true;
    this.startedAtMs = this.schedule.nowMs;
    this.overloadMax = 0;
  }

  startCall(requestId: string, onEnd: (latencyMs: number) => void): void {
    this.lastCallStartedAtMs = this.schedule.nowMs;
    this.startedRequestIds.push(requestId);
    this.#running += 1;
    const warmth = Math.min(1, (this.schedule.nowMs - this.startedAtMs) / coldMs);
    const overload = this.#running / (1 + (slotsPerServer - 1) * warmth);
    this.overloadMax = Math.max(this.overloadMax, overload);
    const cold = coldFactor + (1 - coldFactor) * warmth;
    const varied = 1 + (this.random.next() * 2 - 1) * jitter;
    const latencyMs = this.serviceMs * varied * cold * Math.max(1, overload);
    this.schedule.scheduleAfter(latencyMs, () => {
      this.#running -= 1;
      onEnd(latencyMs);
    });
  }
}
