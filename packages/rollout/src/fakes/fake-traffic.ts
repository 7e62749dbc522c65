import type { RandomSource } from '@sequoiafield/tables';
import { tickIntervalMs } from '@sequoiafield/types';
import type { FakeMesh } from './fake-mesh.js';
import type { FakeNode } from './fake-node.js';

/** Call that a fake backend server runs. */
export interface FakeCall {
  readonly service: string;
  readonly route: string;
  readonly backendVersion: string;
  readonly dataCentre: string;
  /** Id of the node beside the backend server. */
  readonly nodeId: string;
  readonly nowMs: number;
  /** Share of the new version in the caller's view, in percent. */
  readonly sharePercent: number;
  readonly random: RandomSource;
}

/** Outcome of a call. */
export interface FakeOutcome {
  readonly hasFailed: boolean;
  readonly latencyMs: number;
  /** True if the call is not answered, so that only the caller can count it. */
  readonly isHung?: boolean;
}

/** Options of the traffic of one service. */
export interface FakeTrafficOptions {
  readonly service: string;
  readonly routes: readonly string[];
  readonly callsPerSecond: number;
  /** Version whose calls are counted separately. */
  readonly watchedVersion: string;
  run(call: FakeCall): FakeOutcome;
  /** Called before each call that a backend server runs. */
  readonly onCall?: (caller: FakeNode, version: string) => void;
  /** Whether an outcome is bad for the caller; failed and hung calls if left out. */
  readonly isBad?: (outcome: FakeOutcome) => boolean | undefined;
}

/** Number of stages at which a version counts as unproven. */
const unprovenStageCount = 3;

/**
 * Draws a Poisson number by Knuth's method, in pieces of 20 so that the product does not underflow.
 */
const poisson = (mean: number, random: RandomSource): number => {
  let count = 0;
  for (let rest = mean; rest > 0; rest -= 20) {
    const limit = Math.exp(-Math.min(20, rest));
    for (let product = random.next(); product > limit; product *= random.next()) count += 1;
  }
  return count;
};

/**
 * Generates Poisson traffic to one service of a fake mesh: callers choose the version, receivers
 * check it, and the calls to the watched version are counted.
 *
 * @example
 * const traffic = new FakeTraffic(mesh, options);
 * mesh.advance(600_000, () => traffic.tick());
 */
export class FakeTraffic {
  calls = 0;

  /** Calls to the watched version. */
  watchedCalls = 0;

  watchedBadCalls = 0;

  /** Calls during which the caller's view showed the new version as unproven. */
  unprovenCalls = 0;

  /** Calls to the watched version among `unprovenCalls`. */
  unprovenWatchedCalls = 0;

  /** Time of the first bad call to the watched version; undefined before it. */
  firstBadAtMs: number | undefined;

  constructor(
    private readonly mesh: FakeMesh,
    private readonly options: FakeTrafficOptions,
  ) {}

  /** Runs the calls of one tick. */
  tick(): void {
    const { random } = this.mesh;
    const nodes = this.mesh.nodes().filter((node) => !node.isPaused);
    const calls = poisson((this.options.callsPerSecond * tickIntervalMs) / 1000, random);
    for (let index = 0; index < calls; index += 1) {
      const caller = nodes[random.nextInt(nodes.length)];
      if (caller) this.#call(caller, nodes);
    }
  }

  #call(caller: FakeNode, nodes: readonly FakeNode[]): void {
    const { service, routes } = this.options;
    const { random, nowMs } = this.mesh;
    const version = caller.view.chooseVersion(service, random.next());
    const callee = version === undefined ? undefined : this.#choose(caller, nodes, version);
    if (version === undefined || !callee?.view.isAllowed(service, version)) return;
    this.options.onCall?.(caller, version);
    const route = routes[random.nextInt(routes.length)] ?? '';
    const { dataCentre } = callee.options;
    const { sharePercent = 0, provenStage = 0 } = caller.view.statuses()[0] ?? {};
    const outcome = this.options.run({
      ...{
        service,
        route,
        backendVersion: version,
        dataCentre,
        nodeId: callee.id,
        nowMs,
        sharePercent,
        random,
      },
    });
    if (outcome.isHung) caller.recorder.recordUnanswered(service, route, version, callee.id);
    else callee.recorder.recordEnded({ service, route, backendVersion: version, ...outcome });
    this.#count(version, outcome, provenStage < unprovenStageCount);
  }

  /** Chooses a node of the version, for 2 of 3 calls in the caller's data centre if it has one. */
  #choose(caller: FakeNode, nodes: readonly FakeNode[], version: string): FakeNode | undefined {
    const { random } = this.mesh;
    const candidates = nodes.filter(
      ({ options }) =>
        options.service === this.options.service && options.backendVersion === version,
    );
    const localCandidates = candidates.filter(
      ({ options }) => options.dataCentre === caller.options.dataCentre,
    );
    const chosen =
      localCandidates.length > 0 && random.next() < 2 / 3 ? localCandidates : candidates;
    return chosen[random.nextInt(chosen.length)];
  }

  #count(version: string, outcome: FakeOutcome, isUnproven: boolean): void {
    const { watchedVersion, isBad = (ended) => ended.hasFailed || ended.isHung } = this.options;
    this.calls += 1;
    if (isUnproven) this.unprovenCalls += 1;
    if (version !== watchedVersion) return;
    this.watchedCalls += 1;
    if (isUnproven) this.unprovenWatchedCalls += 1;
    if (!isBad(outcome)) return;
    this.watchedBadCalls += 1;
    this.firstBadAtMs ??= this.mesh.nowMs;
  }
}
