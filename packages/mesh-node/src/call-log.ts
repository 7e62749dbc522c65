import { logEvents, type LogEvent, type Logger } from '@sequoiafield/logger';
import type { CallSummary } from '@sequoiafield/calls';
import type { System, Tick } from '@sequoiafield/tables';
import { RefusalOutcome } from '@sequoiafield/types';

/**
 * Maximum log lines per second for each kind of call outcome; further lines are dropped and
 * counted.
 */
const failedLinesPerSMax = 20;
const refusedLinesPerSMax = 10;
const repeatedLinesPerSMax = 5;
const answeredLinesPerSMax = 1;
const countingPeriodMs = 1000;
const serverErrorStatusMin = 500;

interface LineLimit {
  readonly event: LogEvent;
  readonly linesMax: number;
  written: number;
  dropped: number;
}

const createLineLimit = (event: LogEvent, linesMax: number): LineLimit => ({
  event,
  linesMax,
  written: 0,
  dropped: 0,
});

/**
 * Logs the outcome of calls with a line limit for each kind of outcome, so that lines of answered
 * calls never displace those of failed ones. The number of dropped lines, except those of answered
 * calls, is logged each second.
 */
export class CallLog implements System {
  readonly name = 'call-log';

  readonly #failed = createLineLimit(logEvents.callFailed, failedLinesPerSMax);

  readonly #refused = createLineLimit(logEvents.callRefused, refusedLinesPerSMax);

  readonly #repeated = createLineLimit(logEvents.callRepeated, repeatedLinesPerSMax);

  readonly #answered = createLineLimit(logEvents.callAnswered, answeredLinesPerSMax);

  #nextResetAtMs = 0;

  constructor(private readonly logger: Logger) {}

  add(summary: CallSummary): void {
    const lineLimit = this.#lineLimitOf(summary);
    if (lineLimit.written >= lineLimit.linesMax) {
      lineLimit.dropped += 1;
      return;
    }
    lineLimit.written += 1;
    const { refusal, tookMs, memberIds, ...otherFields } = summary;
    this.logger.log(lineLimit.event, {
      ...otherFields,
      tookMs: Math.round(tookMs),
      memberIds: memberIds.join(' '),
      ...(refusal && { reason: refusal.reason, detail: refusal.detail }),
    });
  }

  run(tick: Tick): void {
    if (tick.nowMs < this.#nextResetAtMs) return;
    this.#nextResetAtMs = tick.nowMs + countingPeriodMs;
    const lineLimits = [this.#failed, this.#refused, this.#repeated, this.#answered];
    const dropped = lineLimits.filter(
      (lineLimit) => lineLimit.dropped > 0 && lineLimit !== this.#answered,
    );
    if (dropped.length > 0) {
      const counts = dropped.map((lineLimit) => [lineLimit.event.name, lineLimit.dropped]);
      this.logger.log(logEvents.callLinesDropped, Object.fromEntries(counts));
    }
    for (const lineLimit of lineLimits) Object.assign(lineLimit, { written: 0, dropped: 0 });
  }

  #lineLimitOf({ refusal, status, memberIds }: CallSummary): LineLimit {
    if (refusal) {
      return refusal.outcome === RefusalOutcome.NotRun ? this.#refused : this.#failed;
    }
    if (status >= serverErrorStatusMin) return this.#failed;
    return memberIds.length > 1 ? this.#repeated : this.#answered;
  }
}
