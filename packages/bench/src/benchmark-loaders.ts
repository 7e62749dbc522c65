import type { Benchmark } from './benchmark.js';

/** Loaders of all benchmarks by name; a benchmark is imported only when it runs. */
export const benchmarkLoaders: Readonly<Record<string, () => Promise<Benchmark>>> = {
  call: async () => new (await import('./call/call-benchmark.js')).CallBenchmark(),
  moves: async () => (await import('./moves/moves-benchmark.js')).movesBenchmark,
  evacuation: async () =>
    (await import('./evacuation/evacuation-benchmark.js')).evacuationBenchmark,
  convergence: async () =>
    (await import('./convergence/convergence-benchmark.js')).convergenceBenchmark,
  'change-size': async () =>
    (await import('./change-size/change-size-benchmark.js')).changeSizeBenchmark,
  'node-cost': async () => (await import('./node-cost/node-cost-benchmark.js')).nodeCostBenchmark,
};
