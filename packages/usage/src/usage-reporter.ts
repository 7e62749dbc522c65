import { HoldingEnd, type DutyHolding, type SingleHolderDuty } from '@sequoiafield/duties';
import { logEvents, type Logger } from '@sequoiafield/logger';
import {
  monotonicNowMs,
  wallNowUnixMs,
  type RandomSource,
  type System,
} from '@sequoiafield/tables';
import type { UsageFixer } from './usage-fixer.js';
import type { UsageLedger } from './usage-ledger.js';
import type { FixedWindow } from './usage-record.js';
import { ReportOutcome, type UsageSink } from './usage-sink.js';
import { windowEndUnixMs } from './usage-windows.js';

/** Mean delay before a report is repeated; jittered by 50 % up and down. */
const retryMs = 500;
const rateLimitedRetryMs = 1000;
/** Failures are logged no more often than this. */
const failureLogIntervalMs = 5000;

/** Dependencies and options of a `UsageReporter`. */
export interface UsageReporterOptions {
  readonly selfId: string;
  readonly windowMs: number;
  /** Time after the end of a window within which its report is due. */
  readonly lateMs: number;
  readonly duty: SingleHolderDuty;
  readonly fixer: UsageFixer;
  readonly ledger: UsageLedger;
  readonly sink: UsageSink;
  readonly random: RandomSource;
  readonly logger: Logger;
}

/** Reports usage while this node holds the duty: fixes windows in the store, then sends them. */
export class UsageReporter implements System {
  readonly name = 'usage-reporter';

  readonly counters = { accepted: 0, failed: 0 };

  #isFixing = false;

  #isSending = false;

  #nextSendAtMs = 0;

  #failureLoggedAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: UsageReporterOptions) {}

  run(): void {
    const holding = this.options.duty.holding();
    if (!holding) return;
    if (!this.#isFixing) {
      this.#isFixing = true;
      this.options.fixer
        .step(holding)
        .catch((error: unknown) =>
          this.options.logger.log(logEvents.usageStoreFailed, { error: String(error) }),
        )
        .finally(() => {
          this.#isFixing = false;
        });
    }
    if (!this.#isSending) this.#sendNext(holding);
  }

  #sendNext(holding: DutyHolding): void {
    const { fixer, sink } = this.options;
    const isDue = monotonicNowMs() >= this.#nextSendAtMs;
    if (!isDue || !fixer.isLoaded(holding) || !holding.isHeldFor(sink.timeoutMs)) return;
    this.#dropExpired();
    const next = this.#selectNext();
    if (!next) return;
    this.#isSending = true;
    this.#send(holding, next)
      .catch((error: unknown) => this.#recordFailure(next, ReportOutcome.Failed, String(error)))
      .finally(() => {
        this.#isSending = false;
      });
  }

  #dropExpired(): void {
    const windows = this.options.ledger.dropExpired(wallNowUnixMs());
    if (windows.length > 0) this.options.logger.log(logEvents.usageReportGivenUp, { windows });
  }

  /** Returns the oldest report that is not late yet, or else the oldest one. */
  #selectNext(): FixedWindow | undefined {
    const { ledger, windowMs, lateMs } = this.options;
    const nowUnixMs = wallNowUnixMs();
    const unsent = ledger.unsent(nowUnixMs);
    const isInTime = ({ window }: FixedWindow): boolean =>
      nowUnixMs < windowEndUnixMs(window, windowMs) + lateMs;
    return unsent.find(isInTime) ?? unsent[0];
  }

  async #send(holding: DutyHolding, { window, counts, isSent }: FixedWindow): Promise<void> {
    const { sink, selfId, duty, ledger } = this.options;
    const outcome = await sink.report(selfId, holding.token, window, counts);
    if (outcome === ReportOutcome.Accepted) {
      ledger.markSent(window);
      this.counters.accepted += 1;
    } else if (outcome === ReportOutcome.Superseded) {
      duty.endHolding(holding.token, HoldingEnd.Superseded);
    } else this.#recordFailure({ window, counts, isSent }, outcome);
  }

  #recordFailure({ window }: FixedWindow, outcome: ReportOutcome, error?: string): void {
    const nowMs = monotonicNowMs();
    const isLimited = outcome === ReportOutcome.RateLimited;
    const meanMs = isLimited ? rateLimitedRetryMs : retryMs;
    this.#nextSendAtMs = nowMs + meanMs * (0.5 + this.options.random.next());
    this.counters.failed += 1;
    if (nowMs - this.#failureLoggedAtMs < failureLogIntervalMs) return;
    this.#failureLoggedAtMs = nowMs;
    this.options.logger.log(logEvents.usageReportFailed, { window, outcome, error });
  }
}
