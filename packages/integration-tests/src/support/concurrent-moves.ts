import { setTimeout as delay } from 'node:timers/promises';
import type { LoadOutcome, LocalMesh } from '@sequoiafield/stand-ins';
import { MoveVerdict, type MoveStatus } from '@sequoiafield/types';
import { withMoves, type ConfigurationFiles, type TestMove } from '../configurations.js';
import { readStartedCalls, type ServerLedgerLine } from './ledger-lines.js';

const pollIntervalMs = 100;
const moveDurationMs = 24_000;
/** Exceeds the duration of the move, so that late calls to a version are detected. */
const loadDurationS = 32;
/** Rate of each scenario; a server at its first ramp slot can handle twice its part of it. */
export const callsPerSecondPerMove = 80;

/** Change that is made to a service while its move runs, and the verdict that is expected. */
export interface MoveScenario {
  readonly name: string;
  readonly service: string;
  readonly expected: MoveVerdict;
  /** Proven stage of the move from which `inject` is called; 0 by default. */
  readonly injectFromStage?: number;
  inject?(mesh: LocalMesh): Promise<void>;
}

/** Status of a move as a node of the service reported it at a time. */
export interface MoveSample extends MoveStatus {
  readonly atUnixMs: number;
}

/** Data that the checks of one move use. */
export interface MoveRun {
  readonly move: TestMove;
  readonly outcome: LoadOutcome;
  readonly samples: readonly MoveSample[];
  readonly starts: readonly ServerLedgerLine[];
}

/**
 * Runs one move per scenario at the same time, each on a separate service under a separate load.
 * `round` keeps ids unique when a mesh runs the scenarios several times.
 */
export class ConcurrentMoves {
  #moves: readonly TestMove[] = [];

  constructor(
    private readonly mesh: LocalMesh,
    private readonly files: ConfigurationFiles,
    private readonly scenarios: readonly MoveScenario[],
    private readonly round = 'wave',
  ) {}

  /** Starts the moves; returns a promise per scenario that resolves when its load has ended. */
  async start(): Promise<ReadonlyMap<string, Promise<MoveRun>>> {
    const now = Date.now();
    this.#moves = this.scenarios.map(({ service }) => ({
      ...{ id: `${this.round}-${service}`, service, from: 'v1', to: 'v2' },
      ...{ startAt: new Date(now), finishBy: new Date(now + moveDurationMs) },
    }));
    const { code, log } = await this.mesh.apply(withMoves(this.files, this.#moves));
    if (code !== 0) throw new Error(`Applying the moves failed with exit status ${code}: ${log}`);
    const runs = this.scenarios.map((scenario, index) => {
      const run = this.#run(scenario, this.#moves[index]!);
      // The test of a scenario reports its failure, but may await the promise only after another
      // test; without a handler the rejection would be unhandled until then.
      run.catch(() => undefined);
      return [scenario.name, run] as const;
    });
    return new Map(runs);
  }

  async #run(scenario: MoveScenario, move: TestMove): Promise<MoveRun> {
    const finish = this.mesh.startLoad(
      this.#loadArguments(move),
      this.#oldVersionInstanceIds(scenario.service),
    );
    const samples: MoveSample[] = [];
    const watchController = new AbortController();
    const watchDone = this.#watchMove(scenario, move, samples, watchController.signal);
    const outcome = await finish();
    watchController.abort();
    await watchDone;
    return {
      move,
      outcome,
      samples,
      starts: readStartedCalls(this.mesh, scenario.service, `${move.id}-`),
    };
  }

  async #watchMove(
    scenario: MoveScenario,
    move: TestMove,
    samples: MoveSample[],
    signal: AbortSignal,
  ): Promise<void> {
    let isInjected = scenario.inject === undefined;
    while (!signal.aborted) {
      const sample = await this.#readSample(scenario.service, move.id);
      if (sample) samples.push(sample);
      if (!isInjected && (sample?.provenStage ?? 0) >= (scenario.injectFromStage ?? 0)) {
        isInjected = true;
        await scenario.inject?.(this.mesh);
      }
      await delay(pollIntervalMs);
    }
  }

  /** Reads the status of the move from the first running node of the service that knows it. */
  async #readSample(service: string, moveId: string): Promise<MoveSample | undefined> {
    for (const { plan, node, adminUrl } of this.mesh.instances.values()) {
      if (plan.service !== service || !node?.isRunning) continue;
      const answer = await fetch(`${adminUrl}/v1/moves`, { signal: AbortSignal.timeout(2000) })
        .then((response) => response.json() as Promise<{ moves: readonly MoveStatus[] }>)
        .catch(() => undefined);
      const status = answer?.moves.find((candidate) => candidate.moveId === moveId);
      if (status) return { ...status, atUnixMs: Date.now() };
    }
    return undefined;
  }

  #oldVersionInstanceIds(service: string): readonly string[] {
    return [...this.mesh.instances.values()]
      .filter(({ plan }) => plan.service === service && plan.backendVersion === 'v1')
      .map(({ plan }) => plan.id);
  }

  #loadArguments({ id, service }: TestMove): readonly string[] {
    return [
      ...['--lookup', `GET /${service}/tabs/{n}`, '--request', `POST /${service}/settle/{n}`],
      ...[
        '--lookupPercent',
        '50',
        '--rate',
        String(callsPerSecondPerMove),
        '--durationS',
        String(loadDurationS),
      ],
      ...['--deadlineMs', '1500', '--runId', id],
    ];
  }
}

/**
 * Starts the mesh, applies its configuration and, once it is active, starts one move per scenario.
 *
 * @example
 * const runs = await startMoves(mesh, files, scenarios);
 */
export const startMoves = async (
  mesh: LocalMesh,
  files: ConfigurationFiles,
  scenarios: readonly MoveScenario[],
): Promise<ReadonlyMap<string, Promise<MoveRun>>> => {
  await mesh.start();
  const { code, log } = await mesh.apply(files);
  if (code !== 0)
    throw new Error(`Applying the configuration failed with exit status ${code}: ${log}`);
  await mesh.waitForActiveConfiguration(1);
  return new ConcurrentMoves(mesh, files, scenarios).start();
};
