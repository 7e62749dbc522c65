import { logEvents, type Logger } from '@sequoiafield/logger';

/** A receiver that lags drops an answer per call; one line for all of them is enough to see it. */
const logIntervalMs = 10_000;

/** Logs answers that came for attempts that are over, at most once per `logIntervalMs`. */
export class LateAnswerLog {
  #dropped = 0;

  #lastMemberId = '';

  #nextLogAtMs = -Infinity;

  constructor(private readonly logger: Logger) {}

  /** Counts one dropped answer. */
  countDropped(memberId: string): void {
    this.#dropped += 1;
    this.#lastMemberId = memberId;
  }

  /** Logs what was counted, if the interval since the last line is over. */
  run(nowMs: number): void {
    if (this.#dropped === 0 || nowMs < this.#nextLogAtMs) return;
    const fields = { dropped: this.#dropped, lastMemberId: this.#lastMemberId };
    this.logger.log(logEvents.lateAnswerDropped, fields);
    this.#dropped = 0;
    this.#nextLogAtMs = nowMs + logIntervalMs;
  }
}
