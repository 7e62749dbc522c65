import {
  FakeMesh,
  FakeTraffic,
  fakeDataCentres,
  fakeMove,
  fakeService,
  fakeSnapshot,
  type FakeCall,
  type FakeDeliveryModel,
  type FakeOutcome,
  type RolloutComponents,
} from '@sequoiafield/rollout';
import { MoveVerdict, type MoveStatus } from '@sequoiafield/types';
import {
  drawOutcome,
  type MoveCaseTimes,
  type LabelledOutcome,
  type MoveCase,
} from './move-cases.js';

const startUnixMs = Date.UTC(2026, 0, 1);
const durationMs = 600_000;
/** Time after a rollback during which calls to the bad version are still counted. */
const afterRollbackMs = 30_000;
const otherCallsPerNodePerSecond = 5;
const routes = ['settle', 'refund', 'list', 'status'];

/** Latency from which a successful call counts as slow: three times the usual median. */
const slowMs = 60;

const isBad = (outcome: FakeOutcome): boolean => {
  const { hasFailed, isHung, latencyMs, isDefect } = outcome as LabelledOutcome;
  return isDefect && (hasFailed || isHung === true || latencyMs >= slowMs);
};

/** Messages take 5 to 55 ms; 2 % are lost and 1 % arrive twice. */
const deliveryModel: FakeDeliveryModel = (_from, _to, random) => {
  const draw = random.next();
  const delayMs = 5 + 50 * random.next();
  if (draw < 0.02) return [];
  return draw < 0.03 ? [delayMs, 2 * delayMs] : [delayMs];
};

/** Counts of calls up to one moment. */
export interface MoveCounts {
  /** All calls of the service. */
  readonly calls: number;
  /** Calls to the new version. */
  readonly newCalls: number;
  /** Calls that failed, hung or were slow because of the new version's defect. */
  readonly badCalls: number;
}

/** Result of one move; the counts end with the rollback, if there is one. */
export interface MoveResult extends MoveCounts {
  readonly verdict: MoveVerdict;
  readonly reason: string;
  /** Time from the start to the first verdict; undefined without one. */
  readonly decidedAfterMs: number | undefined;
  /** Time from the first bad call of the new version to the rollback. */
  readonly firstBadToTakenBackMs: number | undefined;
  /** Calls to the new version that started after the rollback. */
  readonly callsAfterVerdict: number;
  /** Time from the rollback to the last call to the new version; 0 without such a call. */
  readonly lastCallAfterVerdictMs: number;
  /** Percentage that went to the new version, of the calls made while it was unproven. */
  readonly unprovenSharePercent: number;
}

const startNodes = (
  mesh: FakeMesh,
  moveCase: MoveCase,
  components: Partial<RolloutComponents>,
): void => {
  fakeDataCentres.forEach((dataCentre, index) => {
    const start = (service: string, backendVersion: string, count: number): void => {
      for (let at = 0; at < count; at += 1) {
        const id = `${dataCentre}-${service}-${backendVersion}-${at}`;
        mesh.add({ id, dataCentre, service, backendVersion, components });
      }
    };
    start(fakeService, 'v1', 2);
    start(fakeService, 'v2', moveCase.newServerCounts[index] ?? 0);
    start('other', 'v1', 1);
  });
};

/**
 * Runs one seeded move of a case on a simulated clock.
 *
 * @example
 * runMove(moveCases[0], 1, {}).verdict;
 */
export const runMove = (
  moveCase: MoveCase,
  seed: number,
  components: Partial<RolloutComponents>,
): MoveResult => {
  const mesh = new FakeMesh(seed, startUnixMs);
  mesh.network = deliveryModel;
  mesh.snapshot = fakeSnapshot({ moves: [fakeMove(startUnixMs)], routes });
  startNodes(mesh, moveCase, components);
  const observer = mesh.node('dc-3-other-v1-0');
  const status = (): MoveStatus | undefined => observer.view.statuses()[0];
  let doneAtMs: number | undefined;
  let rolledBackAtMs: number | undefined;
  const currentTimes = (): MoveCaseTimes => ({
    nowMs: mesh.nowMs,
    sinceDoneMs: doneAtMs === undefined ? undefined : mesh.nowMs - doneAtMs,
  });
  const run = (call: FakeCall): FakeOutcome =>
    drawOutcome(moveCase.getOutcomeDistribution(call, currentTimes()), call.random);
  const { callsPerSecond } = moveCase;
  const options = {
    service: fakeService,
    routes,
    callsPerSecond,
    watchedVersion: 'v2',
    run,
    isBad,
  };
  const traffic = new FakeTraffic(mesh, options);
  let countsAtVerdict: MoveCounts | undefined;
  let newCallsSeen = 0;
  let callsAfterVerdict = 0;
  let lastCallAfterVerdictMs = 0;
  const countsNow = (): MoveCounts => ({
    calls: traffic.calls,
    newCalls: traffic.watchedCalls,
    badCalls: traffic.watchedBadCalls,
  });
  const countNewCalls = (): void => {
    const { watchedCalls } = traffic;
    if (rolledBackAtMs !== undefined && watchedCalls > newCallsSeen) {
      callsAfterVerdict += watchedCalls - newCallsSeen;
      lastCallAfterVerdictMs = mesh.nowMs - rolledBackAtMs;
    }
    newCallsSeen = watchedCalls;
  };
  const recordOtherTraffic = (): void => {
    const isGeneralOutage = moveCase.isGeneralOutage?.(currentTimes()) ?? false;
    mesh.nodes().forEach(({ options: { service }, recorder }) => {
      if (service !== 'other' || mesh.random.next() > otherCallsPerNodePerSecond / 10) return;
      const hasFailed = mesh.random.next() < (isGeneralOutage ? 0.5 : 0.001);
      const evidence = { route: 'other', backendVersion: 'v1', hasFailed, latencyMs: 5 };
      recorder.recordEnded({ service, ...evidence });
    });
  };
  const isFinished = (): boolean => {
    if (rolledBackAtMs !== undefined) return mesh.nowMs >= rolledBackAtMs + afterRollbackMs;
    if (doneAtMs !== undefined) return mesh.nowMs >= doneAtMs + moveCase.afterDoneMs;
    return mesh.nowMs >= durationMs + 60_000;
  };
  const isRolledBackAnywhere = (): boolean =>
    mesh.nodes().some(({ view }) => view.statuses()[0]?.verdict === MoveVerdict.RolledBack);
  while (!isFinished()) {
    mesh.advance(100, () => {
      traffic.tick();
      recordOtherTraffic();
    });
    countNewCalls();
    if (status()?.verdict === MoveVerdict.Done) doneAtMs ??= mesh.nowMs;
    if (rolledBackAtMs === undefined && isRolledBackAnywhere()) {
      rolledBackAtMs = mesh.nowMs;
      countsAtVerdict = countsNow();
    }
  }
  const finalStatus = status();
  mesh.close();
  return {
    verdict: finalStatus?.verdict ?? MoveVerdict.Undecided,
    reason: finalStatus?.reason ?? '',
    decidedAfterMs: doneAtMs ?? rolledBackAtMs,
    firstBadToTakenBackMs:
      rolledBackAtMs === undefined ? undefined : rolledBackAtMs - (traffic.firstBadAtMs ?? 0),
    ...(countsAtVerdict ?? countsNow()),
    callsAfterVerdict,
    lastCallAfterVerdictMs,
    unprovenSharePercent: (100 * traffic.unprovenWatchedCalls) / Math.max(1, traffic.unprovenCalls),
  };
};
