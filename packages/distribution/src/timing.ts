import type { RandomSource } from '@sequoiafield/tables';
import { createDistributionError } from './create-distribution-error.js';

/** Head reads of the whole fleet per second, whatever its size. */
const headReadsPerS = 20;
/** Reads per second of one kind that the whole fleet may add at once: a tenth of the store's 2,000. */
const burstReadsPerS = 200;
const minPollMs = 500;
const maxBackOffMs = 30_000;
/** First head reads may take more, since a restarted node serves only after its own. */
export const firstHeadReadsPerS = 500;

/** Resolves after a time. */
export const sleep = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

/** Rejects with `DistributionError` if the promise takes longer than `timeoutMs`. */
export const withTimeout = async <T>(
  promise: Promise<T>,
  timeoutMs: number,
  what: string,
): Promise<T> => {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<never>((_, reject) => {
    timer = setTimeout(
      () => reject(createDistributionError(`${what} took over ${timeoutMs} ms`)),
      timeoutMs,
    );
  });
  try {
    return await Promise.race([promise, timeout]);
  } finally {
    clearTimeout(timer);
  }
};

/** Time that the store gives to a number of reads; the mean interval of a read that all repeat. */
export const burstWindowMs = (reads: number, readsPerS = burstReadsPerS): number =>
  (reads / readsPerS) * 1000;

const exponential = (random: RandomSource): number => -Math.log(1 - random.next());

/**
 * Time until the next head read: exponential with a mean of `fleetSize / 20` s, at least 500 ms;
 * doubled for each failure in a row, up to 30 s or the plain mean if that is longer.
 */
export const pollDelayMs = (fleetSize: number, failures: number, random: RandomSource): number => {
  const meanMs = Math.max(minPollMs, (fleetSize / headReadsPerS) * 1000);
  const backedOffMs = Math.min(Math.max(maxBackOffMs, meanMs), meanMs * 2 ** Math.min(failures, 8));
  const drawnMs = exponential(random) * (failures > 0 ? backedOffMs : meanMs);
  return Math.min(Math.max(minPollMs, drawnMs), 4 * backedOffMs);
};

/**
 * Delay that spreads reads which nodes may need at the same moment over the time that the store
 * gives them, whatever their number.
 *
 * @example
 * await sleep(burstDelayMs(fleetSize * readsPerNode, random));
 */
export const burstDelayMs = (
  reads: number,
  random: RandomSource,
  readsPerS = burstReadsPerS,
): number => random.next() * burstWindowMs(reads, readsPerS);
