import type { RandomSource } from '@sequoiafield/tables';
import { createDistributionError } from './create-distribution-error.js';

/** Head reads of the whole fleet per second, independent of its size. */
const headReadsPerS = 20;
/**
 * Reads per second of one kind that a burst of the whole fleet may add: a tenth of the store's 2,000
 * per second.
 */
const burstReadsPerS = 200;
const pollIntervalMinMs = 500;
const backoffMaxMs = 30_000;
/** Rate of first head reads, which is higher because a restarted node serves only after its own. */
export const firstHeadReadsPerS = 500;

/** Resolves after `durationMs`. */
export const sleep = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

/** Rejects with `DistributionError` if the promise takes longer than `timeoutMs`. */
export const withTimeout = async <T>(
  promise: Promise<T>,
  timeoutMs: number,
  action: string,
): Promise<T> => {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<never>((_, reject) => {
    timer = setTimeout(
      () => reject(createDistributionError(`${action} took over ${timeoutMs} ms`)),
      timeoutMs,
    );
  });
  try {
    return await Promise.race([promise, timeout]);
  } finally {
    clearTimeout(timer);
  }
};

/**
 * Returns the time in ms over which a burst of reads is spread, which is also the mean interval at which
 * every node repeats such a read.
 */
export const burstWindowMs = (reads: number, readsPerS = burstReadsPerS): number =>
  (reads / readsPerS) * 1000;

const exponential = (random: RandomSource): number => -Math.log(1 - random.next());

/**
 * Returns the time until the next head read: exponential with a mean of `fleetSize / 20` s, at least
 * 500 ms; doubled per consecutive failure, up to 30 s or the mean without failures if that is longer.
 */
export const pollDelayMs = (fleetSize: number, failures: number, random: RandomSource): number => {
  const meanMs = Math.max(pollIntervalMinMs, (fleetSize / headReadsPerS) * 1000);
  const backedOffMs = Math.min(Math.max(backoffMaxMs, meanMs), meanMs * 2 ** Math.min(failures, 8));
  const drawnMs = exponential(random) * (failures > 0 ? backedOffMs : meanMs);
  return Math.min(Math.max(pollIntervalMinMs, drawnMs), 4 * backedOffMs);
};

/**
 * Returns a random delay in ms that spreads reads which many nodes need at the same time, so that their
 * rate stays `readsPerS` for any number of reads.
 *
 * @example
 * await sleep(burstDelayMs(fleetSize * readsPerNode, random));
 */
export const burstDelayMs = (
  reads: number,
  random: RandomSource,
  readsPerS = burstReadsPerS,
): number => random.next() * burstWindowMs(reads, readsPerS);
