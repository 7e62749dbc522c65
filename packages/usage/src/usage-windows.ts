/**
 * Windows whose counts are kept. Reports that are older by then are not sent any more, and a node that
 * replaces a collector gets all of them in one message of a few KB.
 */
export const keptWindowsCount = 24;

/** Number of requests of each account that backend servers began to run in one window. */
export type WindowCounts = ReadonlyMap<string, number>;

/** Returns the window of a wall-clock time; window k begins k times `windowMs` after the start of 1970. */
export const windowAt = (unixMs: number, windowMs: number): number => Math.floor(unixMs / windowMs);

/** Returns the wall-clock time at which a window ends. */
export const windowEndUnixMs = (window: number, windowMs: number): number =>
  (window + 1) * windowMs;

/** Adds counts in place. */
export const addCounts = (total: Map<string, number>, counts: WindowCounts): void => {
  for (const [account, count] of counts) total.set(account, (total.get(account) ?? 0) + count);
};
