import {
  CapacityCallEnd,
  DeclaredCapacity,
  LearnedCapacity,
  type CapacityEstimator,
} from '@sequoiafield/capacity';
import { logEvents, type Logger } from '@sequoiafield/logger';
import { CapacityMode, type OrdersView, type Permit } from '@sequoiafield/types';
import type { LocalServerTracker } from './local-server-tracker.js';

/** Change of the limit that is logged, as a share of the slots, and the least time between two lines. */
const loggedChangeShare = 0.25;
const loggedIntervalMs = 5000;

type PermitResult = Parameters<Permit['release']>[0];

/** Options of `ServerCapacity`. */
export interface ServerCapacityOptions {
  readonly serverTracker: LocalServerTracker;
  readonly orders: OrdersView;
  /** Mode for every service; undefined if the configuration of each service decides. */
  readonly capacityMode?: CapacityMode | undefined;
  /** Logs changes of the limit; left out if they are not logged. */
  readonly logger?: Logger | undefined;
}

const callEndOf = ({
  hasFailed,
  latencyMs,
  wasShed = false,
  wasAnswered = !hasFailed,
}: PermitResult): CapacityCallEnd => {
  if (wasShed) return CapacityCallEnd.Shed;
  if (hasFailed) return CapacityCallEnd.Failed;
  return wasAnswered && latencyMs > 0 ? CapacityCallEnd.Answered : CapacityCallEnd.Cancelled;
};

/**
 * Capacity of the server beside this node: its slots, or what the node learns from its calls for
 * services of `CapacityMode.Learned`.
 *
 * @example
 * const capacity = new ServerCapacity({ serverTracker, orders });
 * const end = capacity.begin('lookup', 2, false);
 * end({ hasFailed: false, latencyMs: 120 });
 * capacity.limit();
 */
export class ServerCapacity {
  readonly #declared = new DeclaredCapacity();

  #learned: CapacityEstimator = new LearnedCapacity();

  #loggedLimit: number | undefined;

  #loggedAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: ServerCapacityOptions) {}

  /** Returns how many calls the server takes well at a time; 0 if no server is known. */
  limit(): number {
    return this.#estimator().limit(this.#slots());
  }

  /** Returns how many calls may run at this moment; it differs from `limit` during a trial. */
  admissionLimit(): number {
    return this.#estimator().admissionLimit(this.#slots());
  }

  /** Returns the speed of the server against its own history; 1 if it is not learned. */
  speed(): number {
    return this.#estimator().speed;
  }

  /**
   * Records the begin of a call; the returned function records its end. A cold server does not show
   * what it can do when it is warm, so that its latencies do not count.
   */
  begin(route: string, runningCalls: number, isCold: boolean): (result: PermitResult) => void {
    const estimator = this.#estimator();
    const call = estimator.begin(route, runningCalls, this.#slots());
    return (result) => {
      const end = isCold ? CapacityCallEnd.Cancelled : callEndOf(result);
      estimator.end(call, end, result.latencyMs);
    };
  }

  /** Discards what was learned, because another incarnation of the server begins. */
  reset(): void {
    this.#learned = new LearnedCapacity();
    this.#loggedLimit = undefined;
  }

  /** Logs the limit if it has changed much since it was last logged. */
  logChange(nowMs: number): void {
    const server = this.options.serverTracker.current();
    if (!server || nowMs - this.#loggedAtMs < loggedIntervalMs) return;
    const { slots, service, instanceId } = server.heartbeat;
    const limit = this.limit();
    const changeMin = Math.max(1, loggedChangeShare * slots);
    if (Math.abs(limit - (this.#loggedLimit ?? slots)) < changeMin) return;
    this.#loggedLimit = limit;
    this.#loggedAtMs = nowMs;
    const speed = Number(this.speed().toFixed(2));
    this.options.logger?.log(logEvents.learnedLimitChanged, {
      ...{ service, instanceId, limit, slots, speed },
    });
  }

  #slots(): number {
    return this.options.serverTracker.current()?.heartbeat.slots ?? 0;
  }

  #estimator(): CapacityEstimator {
    const service = this.options.serverTracker.current()?.heartbeat.service ?? '';
    const configuration = this.options.orders.current().configuration;
    const mode = this.options.capacityMode ?? configuration?.services.get(service)?.capacityMode;
    return mode === CapacityMode.Learned ? this.#learned : this.#declared;
  }
}
