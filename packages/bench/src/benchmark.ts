/** Options that every benchmark takes. */
export interface BenchmarkOptions {
  readonly seed: number;
  /** Runs the named simpler policy in the same run as well, for the ratio. */
  readonly hasBaseline: boolean;
  /** Shorter run for a smoke check; its figures are not for the pages. */
  readonly isQuick: boolean;
}

/** Result of a benchmark; the names of columns and figures carry their units. */
export interface BenchmarkReport {
  readonly name: string;
  readonly columns: readonly string[];
  readonly rows: readonly (readonly (string | number)[])[];
  readonly figures: Readonly<Record<string, number | string | boolean>>;
}

/** One benchmark; bounded in time and processes, traffic on loopback only. */
export interface Benchmark {
  readonly name: string;
  readonly description: string;
  run(options: BenchmarkOptions): Promise<BenchmarkReport>;
}
