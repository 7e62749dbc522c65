import { setTimeout as delay } from 'node:timers/promises';
import type { LoadOutcome, LocalMesh } from '@sequoiafield/stand-ins';
import { MoveVerdict, type MoveStatus } from '@sequoiafield/types';
import { withMoves, type ConfigurationFiles, type TestMove } from '../configurations.js';
import { readStartedCalls, type ServerLedgerLine } from './ledger-lines.js';

const pollMs = 100;
const moveDurationMs = 24_000;
/** The load goes on after the end of the plan, so that late calls to a version would be seen. */
const loadS = 32;
/** Calls that each cell sends; a server at its first slot of the ramp bears twice its part. */
export const callsPerSecondPerMove = 80;

/** What a cell does to a service while its move runs. */
export interface MoveScenario {
  readonly name: string;
  readonly service: string;
  readonly expected: MoveVerdict;
  /** Called once the proven stage of the move is at least this. */
  readonly injectFromStage?: number;
  inject?(mesh: LocalMesh): Promise<void>;
}

/** What a node of the service said about the move at a time. */
export interface MoveSample extends MoveStatus {
  readonly atUnixMs: number;
}

/** Everything that the checks of one move need. */
export interface MoveRun {
  readonly move: TestMove;
  readonly outcome: LoadOutcome;
  readonly samples: readonly MoveSample[];
  readonly starts: readonly ServerLedgerLine[];
}

/**
 * Runs one move for each cell at the same time, each on a service of its own and under a load of its
 * own. `round` makes ids unique when a mesh runs several waves.
 */
export class ConcurrentMoves {
  #moves: readonly TestMove[] = [];

  constructor(
    private readonly mesh: LocalMesh,
    private readonly files: ConfigurationFiles,
    private readonly cells: readonly MoveScenario[],
    private readonly round = 'wave',
  ) {}

  /** Starts the moves; each of the results ends with the load of its cell. */
  async start(): Promise<ReadonlyMap<string, Promise<MoveRun>>> {
    const now = Date.now();
    this.#moves = this.cells.map(({ service }) => ({
      ...{ id: `${this.round}-${service}`, service, from: 'v1', to: 'v2' },
      ...{ startAt: new Date(now), finishBy: new Date(now + moveDurationMs) },
    }));
    const { code, log } = await this.mesh.apply(withMoves(this.files, this.#moves));
    if (code !== 0) throw new Error(`The moves were not accepted: ${log}`);
    const runs = this.cells.map((cell, index) => {
      const run = this.#run(cell, this.#moves[index]!);
      // A cell that fails is reported by its own test, which may wait for another one before.
      run.catch(() => undefined);
      return [cell.name, run] as const;
    });
    return new Map(runs);
  }

  async #run(cell: MoveScenario, move: TestMove): Promise<MoveRun> {
    const finish = this.mesh.startLoad(this.#loadArguments(move), this.#oldServers(cell.service));
    const samples: MoveSample[] = [];
    const watch = new AbortController();
    const watching = this.#watch(cell, move, samples, watch.signal);
    const outcome = await finish();
    watch.abort();
    await watching;
    return {
      move,
      outcome,
      samples,
      starts: readStartedCalls(this.mesh, cell.service, `${move.id}-`),
    };
  }

  async #watch(
    cell: MoveScenario,
    move: TestMove,
    samples: MoveSample[],
    signal: AbortSignal,
  ): Promise<void> {
    let isInjected = cell.inject === undefined;
    while (!signal.aborted) {
      const sample = await this.#sample(cell.service, move.id);
      if (sample) samples.push(sample);
      if (!isInjected && (sample?.provenStage ?? 0) >= (cell.injectFromStage ?? 0)) {
        isInjected = true;
        await cell.inject?.(this.mesh);
      }
      await delay(pollMs);
    }
  }

  /** The answer of the first node of the service that still runs. */
  async #sample(service: string, moveId: string): Promise<MoveSample | undefined> {
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

  #oldServers(service: string): readonly string[] {
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
        String(loadS),
      ],
      ...['--deadlineMs', '1500', '--runId', id],
    ];
  }
}

/**
 * Starts the mesh with its configuration and, once that is in force, one move for each cell.
 *
 * @example
 * const runs = await startMoves(mesh, files, cells);
 */
export const startMoves = async (
  mesh: LocalMesh,
  files: ConfigurationFiles,
  cells: readonly MoveScenario[],
): Promise<ReadonlyMap<string, Promise<MoveRun>>> => {
  await mesh.start();
  const { code, log } = await mesh.apply(files);
  if (code !== 0) throw new Error(`The configuration was not accepted: ${log}`);
  await mesh.waitForActiveConfiguration(1);
  return new ConcurrentMoves(mesh, files, cells).start();
};
