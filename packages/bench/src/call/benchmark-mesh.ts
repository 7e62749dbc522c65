import { join } from 'node:path';
import { bundleProcesses } from './bundle.js';
import { BenchmarkProcess } from './benchmark-process.js';
import type { LoadOptions, LoadResult, PeerPorts } from './messages.js';

/** One phase of the benchmark. */
export interface LoadPhase {
  readonly path: 'two nodes' | 'own backend server';
  readonly method: 'GET' | 'POST';
  readonly callsPerSecond: number;
}

/** Result of a phase with the processor time of each node per call. */
export interface LoadPhaseResult {
  readonly result: LoadResult;
  readonly nearNodeUsPerCall: number;
  readonly farNodeUsPerCall: number;
}

/** Processes of one run: a backend server, two nodes and the load generator. */
export class BenchmarkMesh {
  #backendServer!: BenchmarkProcess;

  #load!: BenchmarkProcess;

  #near!: BenchmarkProcess;

  #far!: BenchmarkProcess;

  #ports!: { backend: number; near: PeerPorts; far: PeerPorts };

  /** `nodeArguments` follow the origin of the backend server on the command line of each node. */
  constructor(private readonly nodeArguments: readonly string[] = []) {}

  async start(): Promise<void> {
    const folder = await bundleProcesses();
    const script = (name: string): string => join(folder, `${name}.cjs`);
    this.#backendServer = new BenchmarkProcess('backend server', script('backend-process'));
    this.#load = new BenchmarkProcess('load', script('load-process'));
    const { port } = await this.#backendServer.receive<{ port: number }>();
    await this.#load.receive();
    const origin = `http://127.0.0.1:${port}`;
    this.#near = new BenchmarkProcess('node A', script('node-process'), [
      'a',
      origin,
      ...this.nodeArguments,
    ]);
    this.#far = new BenchmarkProcess('node B', script('node-process'), [
      'b',
      origin,
      ...this.nodeArguments,
    ]);
    const near = await this.#near.receive<PeerPorts>();
    const far = await this.#far.receive<PeerPorts>();
    this.#ports = { backend: port, near, far };
    await this.#near.sendRequest({ kind: 'members', members: [far] });
    await this.#far.sendRequest({ kind: 'members', members: [far] });
  }

  /** Runs a phase; processor time per call is that of the mesh calls of the phase. */
  async run(phase: LoadPhase, durationMs: number): Promise<LoadPhaseResult> {
    const { backend, near, far } = this.#ports;
    const first = phase.path === 'two nodes' ? near : far;
    const load: LoadOptions = {
      directOrigin: `http://127.0.0.1:${backend}`,
      meshOrigin: `http://127.0.0.1:${first.callPort}`,
      method: phase.method,
      callsPerSecond: phase.callsPerSecond,
      durationMs,
    };
    const before = await this.#usages();
    const result = await this.#load.sendRequest<LoadResult>({ kind: 'load', load });
    const after = await this.#usages();
    // The warm-up of one second is part of the processor time, so it counts as calls here.
    const calls = phase.callsPerSecond * (1 + durationMs / 1000);
    const perCallUs = after.map((usage, at) => Math.round((usage - before[at]!) / calls));
    return { result, nearNodeUsPerCall: perCallUs[0]!, farNodeUsPerCall: perCallUs[1]! };
  }

  async stop(): Promise<void> {
    const children = [this.#load, this.#near, this.#far, this.#backendServer];
    await Promise.all(children.map((child) => child?.stop()));
  }

  async #usages(): Promise<number[]> {
    return [(await this.#near.usage()).processorUs, (await this.#far.usage()).processorUs];
  }
}
