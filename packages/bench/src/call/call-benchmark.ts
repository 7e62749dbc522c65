import type { Benchmark, BenchmarkOptions, BenchmarkReport } from '../benchmark.js';
import { BenchmarkMesh, type LoadPhase, type LoadPhaseResult } from './benchmark-mesh.js';

const rates = [50, 250, 500];
/** Calls per phase and direction; enough for a 99.9th percentile of the faster rates. */
const callsPerPhase = 5000;
const phaseMinMs = 8000;
const phaseMaxMs = 20_000;
const quickPhaseMs = 3000;
const targetP99Us = 1200;

const phases: readonly LoadPhase[] = [
  ...rates.flatMap((callsPerSecond) =>
    (['GET', 'POST'] as const).map((method): LoadPhase => ({
      path: 'two nodes',
      method,
      callsPerSecond,
    })),
  ),
  { path: 'own backend server', method: 'GET', callsPerSecond: 250 },
  { path: 'own backend server', method: 'POST', callsPerSecond: 250 },
];

/** The processes compile their hot code in these phases, as a node that runs for long has. */
const warmUpMs = 3000;
const warmUpPhases = phases.filter(({ callsPerSecond }) => callsPerSecond === 500);

/** Policies of connections for non-idempotent calls, for comparison. */
const baselines = [
  ['keep-alive', ' (any kept-alive connection)'],
  ['fresh', ' (own connection per call)'],
] as const;

const phaseMs = (phase: LoadPhase, isQuick: boolean): number => {
  const wantedMs = (callsPerPhase / phase.callsPerSecond) * 1000;
  return isQuick ? quickPhaseMs : Math.min(phaseMaxMs, Math.max(phaseMinMs, wantedMs));
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

/** Added latency and processor time of a call through the mesh against the direct call. */
export class CallBenchmark implements Benchmark {
  readonly name = 'call';

  readonly description = 'Latency that the mesh adds to a call, and its processor time';

  readonly #rows: (string | number)[][] = [];

  readonly #figures: Record<string, number | boolean> = {};

  async run(options: BenchmarkOptions): Promise<BenchmarkReport> {
    await this.#runMesh(new BenchmarkMesh(), phases, '', options.isQuick);
    if (options.hasBaseline) {
      const posts = phases.filter(({ method }) => method === 'POST');
      for (const [policy, suffix] of baselines) {
        await this.#runMesh(new BenchmarkMesh([policy]), posts, suffix, options.isQuick);
      }
    }
    const figures = this.#figures;
    const added = (key: string): number => Number(figures[`${key}_added_p99_us`]);
    figures.target_p99_us = targetP99Us;
    figures.is_target_met_at_250 =
      added('two_nodes_GET_250') <= targetP99Us && added('two_nodes_POST_250') <= targetP99Us;
    return { name: this.name, columns: [...columns], rows: this.#rows, figures };
  }

  async #runMesh(
    mesh: BenchmarkMesh,
    wanted: readonly LoadPhase[],
    suffix: string,
    isQuick: boolean,
  ): Promise<void> {
    try {
      await mesh.start();
      for (const phase of warmUpPhases) await mesh.run(phase, warmUpMs);
      for (const phase of wanted) {
        this.#add(phase, suffix, await mesh.run(phase, phaseMs(phase, isQuick)));
      }
    } finally {
      await mesh.stop();
    }
  }

  #add(phase: LoadPhase, suffix: string, outcome: LoadPhaseResult): void {
    const { direct, mesh: through, generator } = outcome.result;
    const added = [
      through.p50Us - direct.p50Us,
      through.p99Us - direct.p99Us,
      through.p999Us - direct.p999Us,
    ] as const;
    const name = `${phase.path}${suffix}_${phase.method}_${phase.callsPerSecond}`;
    const key = name.replaceAll(/[^\w]+/g, '_');
    [this.#figures[`${key}_added_p50_us`], this.#figures[`${key}_added_p99_us`]] = added;
    [, , this.#figures[`${key}_added_p999_us`]] = added;
    this.#rows.push([
      `${phase.path}${suffix}`,
      phase.method,
      phase.callsPerSecond,
      through.count,
      direct.failed + through.failed,
      ...[direct.p50Us, direct.p99Us, direct.p999Us],
      ...[through.p50Us, through.p99Us, through.p999Us],
      ...added,
      ...[outcome.nearNodeUsPerCall, outcome.farNodeUsPerCall],
      ...[generator.lagP99Us, generator.queued],
    ]);
  }
}
