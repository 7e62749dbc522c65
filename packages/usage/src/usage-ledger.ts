import { decodeUsageRecord, type FixedWindow, type UsageRecord } from './usage-record.js';
import { keptWindowsCount, windowAt, windowEndUnixMs } from './usage-windows.js';

/** Windows that the record keeps after their reports were accepted. */
const recordedWindowsCount = 6;
/** Largest difference that is assumed between the wall clocks of two nodes. */
const clockSlackMs = 1000;

/** Lengths of a window and of the times after its end. */
export interface UsageTimes {
  readonly windowMs: number;
  /** Time after the end of a window at which the counts are asked for. */
  readonly askDelayMs: number;
  /** Time after the end of a window for which its report is repeated until it is accepted. */
  readonly sendLimitMs: number;
}

/** What was read of the record and is known of the store's era. */
export interface LoadedRecord {
  /** Value of the record; undefined if there is none. */
  readonly value: Uint8Array | undefined;
  readonly era: number;
  /** Wall-clock time at which this node first saw the era; undefined in era 0. */
  readonly eraSeenAtUnixMs: number | undefined;
}

/**
 * Windows that are fixed, as the record of the store has them, with those that this process fixed and that
 * the store lost. It makes no calls.
 */
export class UsageLedger {
  #record: UsageRecord = { era: 0, fixedUpTo: -1, safeFrom: 0, windows: [] };

  #mustWrite = false;

  /** Windows that this process fixed, with the era in which it did. */
  readonly #own = new Map<number, { readonly fixed: FixedWindow; readonly era: number }>();

  constructor(private readonly times: UsageTimes) {}

  /** Whether the record has to be written although no window is due. */
  get mustWrite(): boolean {
    return this.#mustWrite;
  }

  /**
   * Takes over the record of the store. Returns the windows that are not reported, since another node may
   * have reported them before the store was restored.
   */
  load(loaded: LoadedRecord, nowUnixMs: number): readonly number[] {
    const record = loaded.value && decodeUsageRecord(loaded.value);
    const isOfEra = record?.era === loaded.era;
    const safeFrom = isOfEra ? record.safeFrom : this.#firstSafeWindow(loaded, nowUnixMs);
    const kept = (record?.windows ?? []).map((fixed) => this.#withOwnState(fixed));
    const windows = [...kept, ...this.#lostWindows(record, loaded.era)];
    const fixedUpTo = Math.max(record?.fixedUpTo ?? -1, safeFrom - 1, ...this.#own.keys());
    this.#record = { era: loaded.era, fixedUpTo, safeFrom, windows };
    this.#mustWrite = !isOfEra && loaded.era > 0;
    const omitted: number[] = [];
    const first = Math.max((record?.fixedUpTo ?? -1) + 1, safeFrom - keptWindowsCount);
    for (let window = first; window < safeFrom; window++) {
      if (!windows.some((fixed) => fixed.window === window)) omitted.push(window);
    }
    return omitted;
  }

  /** Windows whose counts can be asked for and that are not fixed, in order. */
  dueWindows(nowUnixMs: number): readonly number[] {
    const { windowMs, askDelayMs } = this.times;
    const last = windowAt(nowUnixMs - askDelayMs, windowMs) - 1;
    const first = Math.max(this.#record.fixedUpTo + 1, last - keptWindowsCount + 1);
    return Array.from({ length: Math.max(0, last - first + 1) }, (_, index) => first + index);
  }

  /** Returns the record with more windows, of which those without requests are left out. */
  extend(windows: readonly FixedWindow[], fixedUpTo: number, nowUnixMs: number): UsageRecord {
    const all = [...this.#record.windows, ...windows].sort(
      (left, right) => left.window - right.window,
    );
    const firstRecorded = all.at(-recordedWindowsCount)?.window ?? 0;
    return {
      ...this.#record,
      fixedUpTo: Math.max(fixedUpTo, this.#record.fixedUpTo),
      windows: all.filter(
        (fixed) => fixed.window >= firstRecorded || this.#mayBeSent(fixed, nowUnixMs),
      ),
    };
  }

  /** Takes over a record that this process has written. */
  written(record: UsageRecord, fixedNow: readonly FixedWindow[]): void {
    // Reports may have been accepted while the write ran.
    const sent = this.#record.windows.filter(({ isSent }) => isSent).map(({ window }) => window);
    this.#record = record;
    this.#mustWrite = false;
    fixedNow.forEach((fixed) => this.#own.set(fixed.window, { fixed, era: record.era }));
    while (this.#own.size > keptWindowsCount) this.#own.delete([...this.#own.keys()][0]!);
    sent.forEach((window) => this.markSent(window));
  }

  /** Takes windows without requests as fixed, which needs no write. */
  skipTo(fixedUpTo: number): void {
    this.#record = { ...this.#record, fixedUpTo };
  }

  /** Fixed windows whose reports are not known to be accepted and still may be sent, oldest first. */
  unsent(nowUnixMs: number): readonly FixedWindow[] {
    return this.#record.windows.filter((fixed) => this.#mayBeSent(fixed, nowUnixMs));
  }

  /** Drops and returns the windows whose reports were not accepted within their time limit. */
  dropExpired(nowUnixMs: number): readonly number[] {
    const { windows } = this.#record;
    const expired = windows.filter((fixed) => !fixed.isSent && !this.#mayBeSent(fixed, nowUnixMs));
    if (expired.length > 0)
      this.#record = { ...this.#record, windows: windows.filter((one) => !expired.includes(one)) };
    return expired.map(({ window }) => window);
  }

  markSent(window: number): void {
    const mark = (fixed: FixedWindow): FixedWindow =>
      fixed.window === window ? { ...fixed, isSent: true } : fixed;
    this.#record = { ...this.#record, windows: this.#record.windows.map(mark) };
    const own = this.#own.get(window);
    if (own) this.#own.set(window, { ...own, fixed: mark(own.fixed) });
  }

  /** Marks a window as sent if this process knows that it was accepted. */
  #withOwnState(fixed: FixedWindow): FixedWindow {
    return this.#own.get(fixed.window)?.fixed.isSent === true ? { ...fixed, isSent: true } : fixed;
  }

  #mayBeSent({ window, isSent }: FixedWindow, nowUnixMs: number): boolean {
    const { windowMs, sendLimitMs } = this.times;
    return !isSent && nowUnixMs < windowEndUnixMs(window, windowMs) + sendLimitMs;
  }

  /** First window that no node can have fixed before this node saw the era. */
  #firstSafeWindow({ era, value, eraSeenAtUnixMs }: LoadedRecord, nowUnixMs: number): number {
    if (era === 0 && value === undefined) return 0;
    const seenAtUnixMs = (era > 0 ? eraSeenAtUnixMs : undefined) ?? nowUnixMs;
    return windowAt(seenAtUnixMs + clockSlackMs - this.times.askDelayMs, this.times.windowMs);
  }

  /** Windows that this process fixed in a former era, did not get accepted, and the record lacks. */
  #lostWindows(record: UsageRecord | undefined, era: number): readonly FixedWindow[] {
    const known = new Set((record?.windows ?? []).map(({ window }) => window));
    return [...this.#own.values()]
      .filter((own) => own.era !== era && !own.fixed.isSent && !known.has(own.fixed.window))
      .map(({ fixed }) => fixed);
  }
}
