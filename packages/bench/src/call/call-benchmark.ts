import type { Benchmark, BenchmarkOptions, BenchmarkReport } from '../benchmark.js';
import { BenchmarkMesh, type LoadPhase, type LoadPhaseResult } from './benchmark-mesh.js';

const callRatesPerSecond = [50, 250, 500];
/**
 * Calls that a phase sends directly and again through the mesh; enough for a 99.9th percentile at
 * the faster rates.
 */
const phaseCallCount = 5000;
const phaseMinMs = 8000;
const phaseMaxMs = 20_000;
const quickPhaseMs = 3000;
const targetP99Us = 1200;

const phases: readonly LoadPhase[] = [
  ...callRatesPerSecond.flatMap((callsPerSecond) =>
    (['GET', 'POST'] as const).map((method): LoadPhase => ({
      path: 'two nodes',
      method,
      callsPerSecond,
    })),
  ),
  { path: 'own backend server', method: 'GET', callsPerSecond: 250 },
  { path: 'own backend server', method: 'POST', callsPerSecond: 250 },
];

/**
 * Time of a warm-up phase, in which the processes compile their hot code as a long-running node
 * has.
 */
const warmUpMs = 3000;
const warmUpPhases = phases.filter(({ callsPerSecond }) => callsPerSecond === 500);

/**
 * Connection policies for non-idempotent calls, for comparison, each with the suffix of its rows.
 */
const baselinePolicies = [
  ['keep-alive', ' (any kept-alive connection)'],
  ['fresh', ' (own connection per call)'],
] as const;

const phaseMs = (phase: LoadPhase, isQuick: boolean): number => {
  const fullPhaseMs = (phaseCallCount / phase.callsPerSecond) * 1000;
  return isQuick ? quickPhaseMs : Math.min(phaseMaxMs, Math.max(phaseMinMs, fullPhaseMs));
};

const columns = [
  'path',
  'method',
  'calls/s',
  'calls',
  'failed',
  'direct_p50_us',
  'direct_p99_us',
  'direct_p999_us',
  'mesh_p50_us',
  'mesh_p99_us',
  'mesh_p999_us',
  'added_p50_us',
  'added_p99_us',
  'added_p999_us',
  'node_a_us/call',
  'node_b_us/call',
  'lag_p99_us',
  'queued',
];

/** Benchmark `call`: latency and processor time that the mesh adds to a direct call. */
export class CallBenchmark implements Benchmark {
  readonly name = 'call';

  readonly description = 'Latency and processor time that the mesh adds to a call';

  readonly #rows: (string | number)[][] = [];

  readonly #figures: Record<string, number | boolean> = {};

  async run(options: BenchmarkOptions): Promise<BenchmarkReport> {
    await this.#runMesh(new BenchmarkMesh(), phases, '', options.isQuick);
    if (options.hasBaseline) {
      const postPhases = phases.filter(({ method }) => method === 'POST');
      for (const [policy, suffix] of baselinePolicies) {
        await this.#runMesh(new BenchmarkMesh([policy]), postPhases, suffix, options.isQuick);
      }
    }
    const figures = this.#figures;
    const addedP99Us = (key: string): number => Number(figures[`${key}_added_p99_us`]);
    figures.target_p99_us = targetP99Us;
    figures.is_target_met_at_250 =
      addedP99Us('two_nodes_GET_250') <= targetP99Us &&
      addedP99Us('two_nodes_POST_250') <= targetP99Us;
    return { name: this.name, columns: [...columns], rows: this.#rows, figures };
  }

  async #runMesh(
    mesh: BenchmarkMesh,
    measuredPhases: readonly LoadPhase[],
    suffix: string,
    isQuick: boolean,
  ): Promise<void> {
    try {
      await mesh.start();
      for (const phase of warmUpPhases) await mesh.run(phase, warmUpMs);
      for (const phase of measuredPhases) {
        this.#addRow(phase, suffix, await mesh.run(phase, phaseMs(phase, isQuick)));
      }
    } finally {
      await mesh.stop();
    }
  }

  #addRow(phase: LoadPhase, suffix: string, phaseResult: LoadPhaseResult): void {
    const { direct, mesh, generator } = phaseResult.result;
    const addedUs = [
      mesh.p50Us - direct.p50Us,
      mesh.p99Us - direct.p99Us,
      mesh.p999Us - direct.p999Us,
    ] as const;
    const name = `${phase.path}${suffix}_${phase.method}_${phase.callsPerSecond}`;
    const key = name.replaceAll(/[^\w]+/g, '_');
    [this.#figures[`${key}_added_p50_us`], this.#figures[`${key}_added_p99_us`]] = addedUs;
    [, , this.#figures[`${key}_added_p999_us`]] = addedUs;
    this.#rows.push([
      `${phase.path}${suffix}`,
      phase.method,
      phase.callsPerSecond,
      mesh.count,
      direct.failed + mesh.failed,
      ...[direct.p50Us, direct.p99Us, direct.p999Us],
      ...[mesh.p50Us, mesh.p99Us, mesh.p999Us],
      ...addedUs,
      ...[phaseResult.nodeAUsPerCall, phaseResult.nodeBUsPerCall],
      ...[generator.lagP99Us, generator.queued],
    ]);
  }
}
