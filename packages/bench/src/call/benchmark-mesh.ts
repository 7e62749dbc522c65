import { join } from 'node:path';
import { bundleProcesses } from './bundle-processes.js';
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
  readonly nodeAUsPerCall: number;
  readonly nodeBUsPerCall: number;
}

/** Processes of one run: a backend server, two nodes and the load generator. */
export class BenchmarkMesh {
  #backendServer!: BenchmarkProcess;

  #loadGenerator!: BenchmarkProcess;

  #nodeA!: BenchmarkProcess;

  #nodeB!: BenchmarkProcess;

  #ports!: { backend: number; nodeA: PeerPorts; nodeB: PeerPorts };

  /**
   * Appends `nodeArguments` to the command line of each node, after the backend server's origin.
   */
  constructor(private readonly nodeArguments: readonly string[] = []) {}

  async start(): Promise<void> {
    const folder = await bundleProcesses();
    const scriptPath = (name: string): string => join(folder, `${name}.cjs`);
    this.#backendServer = new BenchmarkProcess('backend server', scriptPath('backend-process'));
    this.#loadGenerator = new BenchmarkProcess('load', scriptPath('load-process'));
    const { port } = await this.#backendServer.receive<{ port: number }>();
    await this.#loadGenerator.receive();
    const origin = `http://127.0.0.1:${port}`;
    this.#nodeA = new BenchmarkProcess('node A', scriptPath('node-process'), [
      'a',
      origin,
      ...this.nodeArguments,
    ]);
    this.#nodeB = new BenchmarkProcess('node B', scriptPath('node-process'), [
      'b',
      origin,
      ...this.nodeArguments,
    ]);
    const nodeA = await this.#nodeA.receive<PeerPorts>();
    const nodeB = await this.#nodeB.receive<PeerPorts>();
    this.#ports = { backend: port, nodeA, nodeB };
    await this.#nodeA.sendRequest({ kind: 'members', members: [nodeB] });
    await this.#nodeB.sendRequest({ kind: 'members', members: [nodeB] });
  }

  /** Runs one phase and returns its result with the processor time of each node per mesh call. */
  async run(phase: LoadPhase, durationMs: number): Promise<LoadPhaseResult> {
    const { backend, nodeA, nodeB } = this.#ports;
    const entry = phase.path === 'two nodes' ? nodeA : nodeB;
    const load: LoadOptions = {
      directOrigin: `http://127.0.0.1:${backend}`,
      meshOrigin: `http://127.0.0.1:${entry.callPort}`,
      method: phase.method,
      callsPerSecond: phase.callsPerSecond,
      durationMs,
    };
    const usagesBeforeUs = await this.#readProcessorUs();
    const result = await this.#loadGenerator.sendRequest<LoadResult>({ kind: 'load', load });
    const usagesAfterUs = await this.#readProcessorUs();
    // The processor time includes the warm-up of 1 s, so the calls of the warm-up count as well.
    const calls = phase.callsPerSecond * (1 + durationMs / 1000);
    const perCallUs = usagesAfterUs.map((usageUs, index) =>
      Math.round((usageUs - usagesBeforeUs[index]!) / calls),
    );
    return { result, nodeAUsPerCall: perCallUs[0]!, nodeBUsPerCall: perCallUs[1]! };
  }

  async stop(): Promise<void> {
    const processes = [this.#loadGenerator, this.#nodeA, this.#nodeB, this.#backendServer];
    await Promise.all(processes.map((benchmarkProcess) => benchmarkProcess?.stop()));
  }

  async #readProcessorUs(): Promise<number[]> {
    return [(await this.#nodeA.usage()).processorUs, (await this.#nodeB.usage()).processorUs];
  }
}
