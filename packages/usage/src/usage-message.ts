import type { WindowChanges } from './usage-counter.js';
import type { WindowCounts } from './usage-windows.js';

/** Running counts of one node, as its collectors receive them. */
export interface UsageMessage {
  /** Start of the sending process; the counts of different processes of a node are added. */
  readonly incarnation: number;
  /** Version that the collector holds; 0 if the message has all counts. */
  readonly baseVersion: number;
  readonly version: number;
  /** Wall-clock time at which the message was sent; it has all requests written before. */
  readonly sentAtUnixMs: number;
  /** Number of accounts that the collector knows at `baseVersion`. */
  readonly knownAccountsCount: number;
  readonly newAccounts: readonly string[];
  readonly windows: readonly WindowChanges[];
}

/** Sum of the counts of some nodes in one window. */
export interface UsageSum {
  /** Whether every live node has delivered its counts of the whole window. */
  readonly isComplete: boolean;
  readonly counts: WindowCounts;
}

const isCount = (value: unknown): value is number => Number.isSafeInteger(value);

const isTexts = (value: unknown): value is readonly string[] =>
  Array.isArray(value) && value.every((text) => typeof text === 'string');

const isWindows = (value: unknown): value is readonly WindowChanges[] =>
  Array.isArray(value) &&
  value.every(
    (change) =>
      Array.isArray(change) &&
      isCount(change[0]) &&
      Array.isArray(change[1]) &&
      change[1].every(isCount),
  );

/** Encodes a message as an array, since field names would make up most of a small one. */
export const encodeUsageMessage = (message: UsageMessage): readonly unknown[] => [
  message.incarnation,
  message.baseVersion,
  message.version,
  message.sentAtUnixMs,
  message.knownAccountsCount,
  message.newAccounts,
  message.windows,
];

/** Decodes a message of a peer; undefined if it is malformed. */
export const decodeUsageMessage = (body: unknown): UsageMessage | undefined => {
  if (!Array.isArray(body)) return undefined;
  const [incarnation, baseVersion, version, sentAtUnixMs, knownAccountsCount, ...rest] = body;
  const [newAccounts, windows] = rest as unknown[];
  const numbers = { incarnation, baseVersion, version, sentAtUnixMs, knownAccountsCount };
  const isValid =
    Object.values(numbers).every(isCount) && isTexts(newAccounts) && isWindows(windows);
  return isValid
    ? { ...(numbers as Record<keyof typeof numbers, number>), newAccounts, windows }
    : undefined;
};

/** Encodes sums, one for each window that was asked for. */
export const encodeUsageSums = (sums: readonly UsageSum[]): readonly unknown[] =>
  sums.map(({ isComplete, counts }) => [isComplete, [...counts].flat()]);

/** Decodes the sums of `windowsCount` windows; undefined if they are malformed. */
export const decodeUsageSums = (
  body: unknown,
  windowsCount: number,
): readonly UsageSum[] | undefined => {
  if (!Array.isArray(body) || body.length !== windowsCount) return undefined;
  const sums: UsageSum[] = [];
  for (const entry of body as unknown[]) {
    if (!Array.isArray(entry) || !Array.isArray(entry[1])) return undefined;
    const flat = entry[1] as unknown[];
    const counts = new Map<string, number>();
    for (let index = 0; index + 1 < flat.length; index += 2) {
      const [account, count] = [flat[index], flat[index + 1]];
      if (typeof account !== 'string' || !isCount(count)) return undefined;
      counts.set(account, count);
    }
    sums.push({ isComplete: entry[0] === true, counts });
  }
  return sums;
};

/** Returns a list of windows of a request; undefined if it is malformed. */
export const readWindows = (value: unknown): readonly number[] | undefined =>
  Array.isArray(value) && value.every(isCount) ? value : undefined;
