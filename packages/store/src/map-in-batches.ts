/** Requests of one operation that run at a time; the store serves the whole fleet beside it. */
const parallelRequests = 8;

/**
 * Maps items with a bounded number of requests at a time, in order; the first failure ends it.
 *
 * @example
 * const sections = await mapInBatches(names, (name) => readSection(name));
 */
export const mapInBatches = async <T, R>(
  items: readonly T[],
  run: (item: T) => Promise<R>,
): Promise<R[]> => {
  const results: R[] = [];
  for (let start = 0; start < items.length; start += parallelRequests) {
    results.push(...(await Promise.all(items.slice(start, start + parallelRequests).map(run))));
  }
  return results;
};
