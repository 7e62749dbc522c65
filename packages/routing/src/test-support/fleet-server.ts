import type { LoadReport, MemberRow } from '@sequoiafield/types';

/** Weight of one call in the mean service time that a server reports. */
const meanWeight = 0.05;

/** Call in the queue of a simulated server. */
export interface Waiting {
  readonly arrivedAtMs: number;
  readonly start: (waitMs: number) => void;
}

/** Server with slots and a queue; service times are exponential around its mean. */
export class FleetServer {
  running = 0;

  served = 0;

  meanServiceMs = 0;

  readonly queue: Waiting[] = [];

  constructor(
    readonly row: MemberRow,
    readonly slots: number,
    readonly serviceMs: number,
  ) {}

  /** Counts a call that this server runs. */
  count(): void {
    this.served += 1;
  }

  begin(): void {
    this.running += 1;
  }

  end(serviceMs: number): void {
    this.running -= 1;
    const mean = this.meanServiceMs || serviceMs;
    this.meanServiceMs = mean + (serviceMs - mean) * meanWeight;
  }

  load(): LoadReport {
    const { running, queue, slots, meanServiceMs } = this;
    return {
      runningCalls: running,
      queuedCalls: queue.length,
      slotsNow: slots,
      meanServiceMs,
      failureRatio: 0,
    };
  }
}
