import { HoldingEnd, type DutyHolding, type SingleHolderDuty } from '@sequoiafield/duties';
import { logEvents, type Logger } from '@sequoiafield/logger';
import { eraOf, type LeaseStore, type StoreItem } from '@sequoiafield/store';
import { monotonicNowMs, wallNowUnixMs } from '@sequoiafield/tables';
import type { UsageSum } from './usage-message.js';
import type { UsageLedger } from './usage-ledger.js';
import { encodeUsageRecord, type FixedWindow } from './usage-record.js';
import type { UsageSums } from './usage-sums.js';
import { windowEndUnixMs, type WindowCounts } from './usage-windows.js';

/** Longest time of one call to the store. */
const storeTimeoutMs = 1000;
/** Delay before counts are asked for again, or a failed call is repeated. */
const retryMs = 500;
/** Shortest time for which missing counts are awaited, also if the report is late already. */
const awaitMinMs = 2000;

/** Dependencies and options of a `UsageFixer`. */
export interface UsageFixerOptions {
  readonly key: string;
  readonly windowMs: number;
  /** Time after the end of a window after which its counts are fixed although some are missing. */
  readonly awaitLimitMs: number;
  readonly duty: SingleHolderDuty;
  readonly store: LeaseStore;
  readonly sums: UsageSums;
  readonly ledger: UsageLedger;
  readonly logger: Logger;
}

const toFixedWindow = (window: number, counts: WindowCounts): FixedWindow => ({
  window,
  counts: Object.fromEntries([...counts].filter(([, count]) => count > 0).sort()),
  isSent: false,
});

/**
 * Fixes the counts of windows in the store before they are sent. The write has two conditions: that the
 * record is as it was read, and that this node still is the holder.
 */
export class UsageFixer {
  readonly counters = { windowsFixed: 0, windowsIncomplete: 0 };

  #revision = 0;

  #loadedToken: number | undefined;

  #nextAtMs = 0;

  readonly #firstAskedAtMs = new Map<number, number>();

  constructor(private readonly options: UsageFixerOptions) {}

  /** Whether the record was read under this holding, so that its windows may be sent. */
  isLoaded(holding: DutyHolding): boolean {
    return this.#loadedToken === holding.token;
  }

  /** Fixes the windows that are due. Rejects if a call to the store fails; the next step continues. */
  async step(holding: DutyHolding): Promise<void> {
    if (monotonicNowMs() < this.#nextAtMs || !holding.isHeldFor(storeTimeoutMs)) return;
    try {
      if (!this.isLoaded(holding)) await this.#load(holding);
      await this.#fixDue(holding);
    } catch (error) {
      // The outcome of a write is not known, so the record is read again.
      this.#loadedToken = undefined;
      this.#nextAtMs = monotonicNowMs() + retryMs;
      throw error;
    }
  }

  async #load(holding: DutyHolding): Promise<void> {
    const { store, key, ledger, duty, logger } = this.options;
    const { items, storeRevision } = await store.readRange(key);
    const item = items.find((other) => other.key === key);
    this.#revision = item?.revision ?? 0;
    const omitted = ledger.load(
      {
        value: item?.value,
        era: eraOf(storeRevision),
        eraSeenAtUnixMs: duty.eraSeenAtUnixMs,
      },
      wallNowUnixMs(),
    );
    if (omitted.length > 0)
      logger.log(logEvents.usageWindowOmitted, { first: omitted[0], last: omitted.at(-1) });
    this.#loadedToken = holding.token;
  }

  async #fixDue(holding: DutyHolding): Promise<void> {
    const { ledger, sums } = this.options;
    const due = ledger.dueWindows(wallNowUnixMs());
    if (due.length === 0 && !ledger.mustWrite) return;
    const ready = due.length === 0 ? [] : this.#selectReady(due, await sums.ofFleet(due));
    if (ready.length < due.length) this.#nextAtMs = monotonicNowMs() + retryMs;
    const fixed = ready
      .map(([window, { counts }]) => toFixedWindow(window, counts))
      .filter(({ counts }) => Object.keys(counts).length > 0);
    const lastReady = ready.at(-1)?.[0];
    if (fixed.length > 0 || ledger.mustWrite) await this.#commit(holding, fixed, lastReady ?? -1);
    else if (lastReady !== undefined) ledger.skipTo(lastReady);
  }

  /** Returns the first windows whose counts are complete or were awaited for long enough. */
  #selectReady(
    due: readonly number[],
    sums: readonly UsageSum[],
  ): readonly (readonly [number, UsageSum])[] {
    const nowMs = monotonicNowMs();
    const { awaitLimitMs, windowMs, logger } = this.options;
    for (const window of this.#firstAskedAtMs.keys())
      if (window < due[0]!) this.#firstAskedAtMs.delete(window);
    const ready: (readonly [number, UsageSum])[] = [];
    for (const [index, window] of due.entries()) {
      const askedAtMs = this.#firstAskedAtMs.get(window) ?? nowMs;
      this.#firstAskedAtMs.set(window, askedAtMs);
      const isOverdue =
        wallNowUnixMs() >= windowEndUnixMs(window, windowMs) + awaitLimitMs &&
        nowMs - askedAtMs >= awaitMinMs;
      const sum = sums[index]!;
      if (!sum.isComplete && !isOverdue) return ready;
      if (!sum.isComplete) {
        this.counters.windowsIncomplete += 1;
        logger.log(logEvents.usageIncomplete, { window });
      }
      ready.push([window, sum]);
    }
    return ready;
  }

  async #commit(
    holding: DutyHolding,
    fixed: readonly FixedWindow[],
    fixedUpTo: number,
  ): Promise<void> {
    const { store, key, ledger, logger } = this.options;
    if (!holding.isHeldFor(storeTimeoutMs)) return;
    const record = ledger.extend(fixed, fixedUpTo, wallNowUnixMs());
    const result = await store.commit({
      conditions: [holding.condition, { key, revision: this.#revision }],
      writes: [{ key, value: encodeUsageRecord(record) }],
    });
    if (result.kind !== 'written') {
      this.#resolveConflict(holding, result.kind === 'conflict' ? result.items : []);
      return;
    }
    this.#revision = result.revision;
    ledger.written(record, fixed);
    this.counters.windowsFixed += fixed.length;
    const windows = fixed.map(({ window }) => window);
    logger.log(logEvents.usageFixed, { token: holding.token, windows });
  }

  /** Ends the holding if another node has the duty; otherwise the record is read again. */
  #resolveConflict(holding: DutyHolding, items: readonly StoreItem[]): void {
    const { condition, token } = holding;
    const isReplaced = items.some(
      ({ key, revision }) => key === condition.key && revision !== condition.revision,
    );
    if (isReplaced) this.options.duty.endHolding(token, HoldingEnd.RecordChanged);
    this.#loadedToken = undefined;
    this.#nextAtMs = monotonicNowMs() + retryMs;
  }
}
