import { logEvents, type LogEvent, type Logger } from '@sequoiafield/logger';
import type { CallSummary } from '@sequoiafield/calls';
import type { System, Tick } from '@sequoiafield/tables';
import { RefusalOutcome } from '@sequoiafield/types';

/** Lines of one kind a second; the rest is counted. */
const failedLinesPerS = 20;
const refusedLinesPerS = 10;
const repeatedLinesPerS = 5;
const answeredLinesPerS = 1;
const spanMs = 1000;
const statusServerError = 500;

interface LineKind {
  readonly event: LogEvent;
  readonly linesMax: number;
  written: number;
  dropped: number;
}

const newKind = (event: LogEvent, linesMax: number): LineKind => ({
  event,
  linesMax,
  written: 0,
  dropped: 0,
});

/**
 * Logs how calls ended, with a bound for each kind of end, so that answered calls never displace
 * failed ones. What was left out is counted each second.
 */
export class CallLog implements System {
  readonly name = 'call-log';

  readonly #failed = newKind(logEvents.callFailed, failedLinesPerS);

  readonly #refused = newKind(logEvents.callRefused, refusedLinesPerS);

  readonly #repeated = newKind(logEvents.callRepeated, repeatedLinesPerS);

  readonly #answered = newKind(logEvents.callAnswered, answeredLinesPerS);

  #nextAtMs = 0;

  constructor(private readonly logger: Logger) {}

  add(end: CallSummary): void {
    const kind = this.#kindOf(end);
    if (kind.written >= kind.linesMax) {
      kind.dropped += 1;
      return;
    }
    kind.written += 1;
    const { refusal, tookMs, memberIds, ...rest } = end;
    this.logger.log(kind.event, {
      ...rest,
      tookMs: Math.round(tookMs),
      memberIds: memberIds.join(' '),
      ...(refusal && { reason: refusal.reason, detail: refusal.detail }),
    });
  }

  run(tick: Tick): void {
    if (tick.nowMs < this.#nextAtMs) return;
    this.#nextAtMs = tick.nowMs + spanMs;
    const kinds = [this.#failed, this.#refused, this.#repeated, this.#answered];
    const dropped = kinds.filter((kind) => kind.dropped > 0 && kind !== this.#answered);
    if (dropped.length > 0) {
      const counts = dropped.map((kind) => [kind.event.name, kind.dropped]);
      this.logger.log(logEvents.callLinesDropped, Object.fromEntries(counts));
    }
    for (const kind of kinds) Object.assign(kind, { written: 0, dropped: 0 });
  }

  #kindOf({ refusal, status, memberIds }: CallSummary): LineKind {
    if (refusal) {
      return refusal.outcome === RefusalOutcome.NotRun ? this.#refused : this.#failed;
    }
    if (status >= statusServerError) return this.#failed;
    return memberIds.length > 1 ? this.#repeated : this.#answered;
  }
}
