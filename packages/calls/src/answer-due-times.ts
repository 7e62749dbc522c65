import type { IncomingMessage } from 'node:http';
import { CapacityMode, type RouteMatch } from '@sequoiafield/types';
import type { CallProtocol } from './call-protocol.js';
import { CallerDeadlines } from './caller-deadlines.js';
import { readCallerDeadlineMs } from './inbound-request.js';

/** Times at which the answers of requests are due by their latency targets. */
export class AnswerDueTimes {
  readonly #callerDeadlines = new CallerDeadlines();

  constructor(private readonly protocol: Pick<CallProtocol, 'deadlineHeader'>) {}

  /**
   * Returns when the answer to a request is due on the monotonic clock, counted from the caller's first
   * attempt; undefined if the service does not schedule calls by it.
   */
  of(
    request: IncomingMessage,
    { route, service }: RouteMatch,
    arrivedAtMs: number,
  ): number | undefined {
    if (service.capacityMode !== CapacityMode.Learned || route.targetLatencyMs === undefined)
      return undefined;
    const dueAtMs = arrivedAtMs + route.targetLatencyMs;
    const callerDeadlineMs = readCallerDeadlineMs(request, this.protocol);
    if (callerDeadlineMs === undefined) return dueAtMs;
    this.#callerDeadlines.record(route.name, callerDeadlineMs);
    return dueAtMs - this.#callerDeadlines.waitedMs(route.name, callerDeadlineMs);
  }
}
