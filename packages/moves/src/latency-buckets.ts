/** Upper bounds of the buckets in ms, each twice the previous one; one more bucket has no bound. */
export const bucketBoundsMs: readonly number[] = [10, 20, 40, 80, 160, 320, 640, 1280, 2560];

/** Index of the bucket of a latency. */
export const bucketIndexOf = (latencyMs: number): number => {
  const index = bucketBoundsMs.findIndex((boundMs) => latencyMs <= boundMs);
  return index < 0 ? bucketBoundsMs.length : index;
};

/** Share of the calls above a bucket, 0 to 1. */
export const shareAbove = (buckets: readonly number[], bucket: number): number => {
  let total = 0;
  let above = 0;
  buckets.forEach((count, index) => {
    total += count;
    if (index > bucket) above += count;
  });
  return total === 0 ? 0 : above / total;
};
