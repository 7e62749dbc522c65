/** Request of the parent process to a process of the benchmark. */
export type ParentRequest =
  | { readonly kind: 'usage' }
  | { readonly kind: 'load'; readonly load: LoadOptions }
  | { readonly kind: 'members'; readonly members: readonly PeerPorts[] };

/** Ports on which a node of the benchmark listens. */
export interface PeerPorts {
  readonly id: string;
  readonly linkPort: number;
  readonly callPort: number;
}

/** One phase of load: each call is sent directly and through the mesh, half an interval apart. */
export interface LoadOptions {
  readonly directOrigin: string;
  readonly meshOrigin: string;
  readonly method: 'GET' | 'POST';
  readonly callsPerSecond: number;
  readonly durationMs: number;
}

/** Latency in microseconds at the 50th, 99th and 99.9th percentile. */
export interface LatencySummary {
  readonly count: number;
  readonly failed: number;
  readonly p50Us: number;
  readonly p99Us: number;
  readonly p999Us: number;
}

/**
 * Delays of the load generator itself; both paths share it, so that its delays affect both alike.
 */
export interface GeneratorState {
  /** 99th percentile of the time from when a call was due until it was sent. */
  readonly lagP99Us: number;
  /** Calls queued in the generator because every connection of their path was in use. */
  readonly queued: number;
}

/** Result of one phase of load. */
export interface LoadResult {
  readonly direct: LatencySummary;
  readonly mesh: LatencySummary;
  readonly generator: GeneratorState;
}

/** Processor time that a process has used since its start. */
export interface ProcessorUsage {
  readonly processorUs: number;
}
