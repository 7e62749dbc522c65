/** Requests that one operation runs at a time, since the store also serves the whole fleet. */
const parallelRequestsMax = 8;

/**
 * Maps items in order with a bounded number of requests at a time; rejects on the first failure.
 *
 * @example
 * const sections = await mapInBatches(names, (name) => readSection(name));
 */
export const mapInBatches = async <T, R>(
  items: readonly T[],
  run: (item: T) => Promise<R>,
): Promise<R[]> => {
  const results: R[] = [];
  for (let start = 0; start < items.length; start += parallelRequestsMax) {
    results.push(...(await Promise.all(items.slice(start, start + parallelRequestsMax).map(run))));
  }
  return results;
};
