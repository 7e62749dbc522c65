import { logEvents, type Logger } from '@sequoiafield/logger';

/** A lagging receiver causes a dropped answer per call; one line for all of them limits the log. */
const logIntervalMs = 10_000;

/** Logs the answers to attempts that had already ended, at most once per `logIntervalMs`. */
export class LateAnswerLog {
  #droppedCount = 0;

  #lastMemberId = '';

  #nextLogAtMs = -Infinity;

  constructor(private readonly logger: Logger) {}

  /** Counts one dropped answer. */
  countDropped(memberId: string): void {
    this.#droppedCount += 1;
    this.#lastMemberId = memberId;
  }

  /** Logs the count of dropped answers once the interval since the last line has passed. */
  logIfDue(nowMs: number): void {
    if (this.#droppedCount === 0 || nowMs < this.#nextLogAtMs) return;
    const fields = { dropped: this.#droppedCount, lastMemberId: this.#lastMemberId };
    this.logger.log(logEvents.lateAnswerDropped, fields);
    this.#droppedCount = 0;
    this.#nextLogAtMs = nowMs + logIntervalMs;
  }
}
