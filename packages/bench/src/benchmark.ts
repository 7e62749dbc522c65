/** Options that every benchmark takes. */
export interface BenchmarkOptions {
  readonly seed: number;
  /** Runs the benchmark's simpler policy as well, for comparison. */
  readonly hasBaseline: boolean;
  /** Shortens the run for a smoke check; its figures are not meant for publication. */
  readonly isQuick: boolean;
}

/** Result of a benchmark; the names of columns and figures carry their units. */
export interface BenchmarkReport {
  readonly name: string;
  readonly columns: readonly string[];
  readonly rows: readonly (readonly (string | number)[])[];
  readonly figures: Readonly<Record<string, number | string | boolean>>;
}

/** One benchmark, bounded in time and processes; its traffic stays on loopback. */
export interface Benchmark {
  readonly name: string;
  readonly description: string;
  run(options: BenchmarkOptions): Promise<BenchmarkReport>;
}
