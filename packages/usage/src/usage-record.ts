import type { ReportedCounts } from './usage-sink.js';

/** Window whose counts are fixed. */
export interface FixedWindow {
  readonly window: number;
  readonly counts: ReportedCounts;
  /** Whether the report is known to be accepted. */
  readonly isSent: boolean;
}

/** Record of the store with the windows that were fixed last. */
export interface UsageRecord {
  /** Era of the store in which the record was written; a copy that is restored keeps the older one. */
  readonly era: number;
  /** Windows up to this one are fixed or not reported at all. */
  readonly fixedUpTo: number;
  /** Windows before this one may have been reported in a former era. */
  readonly safeFrom: number;
  readonly windows: readonly FixedWindow[];
}

const isFixedWindow = (value: unknown): value is FixedWindow => {
  const { window, counts, isSent } = (value ?? {}) as Partial<FixedWindow>;
  const isValid =
    Number.isSafeInteger(window) && typeof isSent === 'boolean' && typeof counts === 'object';
  return isValid && Object.values(counts ?? {}).every((count) => Number.isSafeInteger(count));
};

/** Encodes a record as the value of its key. */
export const encodeUsageRecord = (record: UsageRecord): Uint8Array =>
  Buffer.from(JSON.stringify(record));

/**
 * Decodes a record; undefined if it is malformed.
 *
 * @example
 * const { fixedUpTo, windows } = decodeUsageRecord(item.value) ?? emptyRecord;
 */
export const decodeUsageRecord = (value: Uint8Array): UsageRecord | undefined => {
  try {
    const record = JSON.parse(Buffer.from(value).toString('utf8')) as Partial<UsageRecord> | null;
    const numbers = [record?.era, record?.fixedUpTo, record?.safeFrom];
    const isValid =
      numbers.every((number) => Number.isSafeInteger(number)) &&
      Array.isArray(record?.windows) &&
      record.windows.every(isFixedWindow);
    return isValid ? (record as UsageRecord) : undefined;
  } catch {
    return undefined;
  }
};
