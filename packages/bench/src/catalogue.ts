import type { Benchmark } from './benchmark.js';

/** Every benchmark by name; loaded on demand, so that one does not pay for the others. */
export const benchmarkLoaders: Readonly<Record<string, () => Promise<Benchmark>>> = {
  evacuation: async () => (await import('./evacuation/evacuation.js')).evacuation,
};
