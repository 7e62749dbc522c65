import { logEvents, type Logger } from '@sequoiafield/logger';
import { monotonicNowMs } from '@sequoiafield/tables';
import type { MembershipCounters } from './counters.js';

/** Minimum interval between log lines; the items between them are only counted. */
const logIntervalMs = 5000;

/** Counts malformed items of peers and logs some of them; such an item affects nothing else. */
export class MalformedItemLog {
  #nextLogAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly counters: MembershipCounters,
    private readonly logger: Logger,
  ) {}

  record(fromId: string, error: unknown): void {
    this.counters.droppedItems += 1;
    const nowMs = monotonicNowMs();
    if (nowMs < this.#nextLogAtMs) return;
    this.#nextLogAtMs = nowMs + logIntervalMs;
    const { droppedItems } = this.counters;
    this.logger.log(logEvents.memberItemMalformed, { fromId, droppedItems, error: String(error) });
  }
}
