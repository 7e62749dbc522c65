/** Blocks the event loop of the process, as work without a pause does. */
export const blockLoop = (ms: number): void => {
  const untilMs = performance.now() + ms;
  while (performance.now() < untilMs);
};
