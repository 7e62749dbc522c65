import type { RandomSource } from '@sequoiafield/tables';
import type { EventScheduler } from './event-scheduler.js';
import { slotsPerServer } from './user-workloads.js';

/** Time from a cold start until the server is warm. */
const warmUpMs = 8000;
/** Service time of a cold server relative to a warm one. */
const coldServiceTimeFactor = 3;
/** Service time varies by up to this fraction in both directions. */
const serviceTimeJitter = 0.3;

/**
 * Simulates a backend server with a cold start: at first it can handle one call at a time and takes
 * three times as long; calls over its capacity slow it down in proportion.
 *
 * @example
 * new SimulatedBackendServer(schedule, random, 20).startCall('r-1', () => done());
 */
export class SimulatedBackendServer {
  startedAtMs = -warmUpMs;

  isRunning = true;

  lastCallStartedAtMs = Number.NEGATIVE_INFINITY;

  /** Highest ratio of running calls to the calls that the server can handle. */
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
    const warmth = Math.min(1, (this.schedule.nowMs - this.startedAtMs) / warmUpMs);
    const overload = this.#running / (1 + (slotsPerServer - 1) * warmth);
    this.overloadMax = Math.max(this.overloadMax, overload);
    const coldSlowdown = coldServiceTimeFactor + (1 - coldServiceTimeFactor) * warmth;
    const jitterFactor = 1 + (this.random.next() * 2 - 1) * serviceTimeJitter;
    const latencyMs = this.serviceMs * jitterFactor * coldSlowdown * Math.max(1, overload);
    this.schedule.scheduleAfter(latencyMs, () => {
      this.#running -= 1;
      onEnd(latencyMs);
    });
  }
}
