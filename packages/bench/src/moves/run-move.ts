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
/** Time after a take-back during which traffic to the bad version is still looked for. */
const afterTakenBackMs = 30_000;
const callsPerNodeOfOther = 5;
const routes = ['settle', 'refund', 'list', 'status'];

/** A successful call is slow for its caller from three times the usual median. */
const slowMs = 60;

const isBad = (outcome: FakeOutcome): boolean => {
  const { hasFailed, isHung, latencyMs, isDefect } = outcome as LabelledOutcome;
  return isDefect && (hasFailed || isHung === true || latencyMs >= slowMs);
};

/** Messages take 5 to 55 ms; 2 % are lost and 1 % arrive twice. */
const network: FakeDeliveryModel = (_from, _to, random) => {
  const draw = random.next();
  const delayMs = 5 + 50 * random.next();
  if (draw < 0.02) return [];
  return draw < 0.03 ? [delayMs, 2 * delayMs] : [delayMs];
};

/** Calls up to one moment. */
export interface MoveCounts {
  /** All calls of the service. */
  readonly calls: number;
  /** Calls to the new version. */
  readonly newCalls: number;
  /** Calls that failed, hung or were slow because of the new version's defect. */
  readonly badCalls: number;
}

/** What one move did; the counts end with the take-back, if there was one. */
export interface MoveResult extends MoveCounts {
  readonly verdict: MoveVerdict;
  readonly reason: string;
  /** Time from the start to the first verdict; undefined without one. */
  readonly decidedAfterMs: number | undefined;
  /** Time from the first bad call of the new version to the take-back. */
  readonly firstBadToTakenBackMs: number | undefined;
  /** Calls to the new version that began later than the verdict, and the last one's delay. */
  readonly callsAfterVerdict: number;
  readonly lastCallAfterVerdictMs: number;
  /** Part of the calls that went to the new version while it was unproven. */
  readonly unprovenSharePercent: number;
}

const startNodes = (
  mesh: FakeMesh,
  moveCase: MoveCase,
  parts: Partial<RolloutComponents>,
): void => {
  fakeDataCentres.forEach((dataCentre, index) => {
    const start = (service: string, backendVersion: string, count: number): void => {
      for (let at = 0; at < count; at += 1) {
        const id = `${dataCentre}-${service}-${backendVersion}-${at}`;
        mesh.add({ id, dataCentre, service, backendVersion, components: parts });
      }
    };
    start(fakeService, 'v1', 2);
    start(fakeService, 'v2', moveCase.newServerCounts[index] ?? 0);
    start('other', 'v1', 1);
  });
};

/**
 * Runs one seeded move of a case on an advanced clock.
 *
 * @example
 * runMove(moveCases[0], 1, {}).verdict;
 */
export const runMove = (
  moveCase: MoveCase,
  seed: number,
  parts: Partial<RolloutComponents>,
): MoveResult => {
  const mesh = new FakeMesh(seed, startUnixMs);
  mesh.network = network;
  mesh.snapshot = fakeSnapshot({ moves: [fakeMove(startUnixMs)], routes });
  startNodes(mesh, moveCase, parts);
  const observer = mesh.node('dc-3-other-v1-0');
  const status = (): MoveStatus | undefined => observer.view.statuses()[0];
  let doneAtMs: number | undefined;
  let takenBackAtMs: number | undefined;
  const clock = (): MoveCaseTimes => ({
    nowMs: mesh.nowMs,
    sinceDoneMs: doneAtMs === undefined ? undefined : mesh.nowMs - doneAtMs,
  });
  const run = (call: FakeCall): FakeOutcome =>
    drawOutcome(moveCase.getOutcomeDistribution(call, clock()), call.random);
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
  let atVerdict: MoveCounts | undefined;
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
    if (takenBackAtMs !== undefined && watchedCalls > newCallsSeen) {
      callsAfterVerdict += watchedCalls - newCallsSeen;
      lastCallAfterVerdictMs = mesh.nowMs - takenBackAtMs;
    }
    newCallsSeen = watchedCalls;
  };
  const otherTraffic = (): void => {
    const isSick = moveCase.isGeneralOutage?.(clock()) ?? false;
    mesh.nodes().forEach(({ options: { service }, recorder }) => {
      if (service !== 'other' || mesh.random.next() > callsPerNodeOfOther / 10) return;
      const hasFailed = mesh.random.next() < (isSick ? 0.5 : 0.001);
      const evidence = { route: 'other', backendVersion: 'v1', hasFailed, latencyMs: 5 };
      recorder.recordEnded({ service, ...evidence });
    });
  };
  const isOver = (): boolean => {
    if (takenBackAtMs !== undefined) return mesh.nowMs >= takenBackAtMs + afterTakenBackMs;
    if (doneAtMs !== undefined) return mesh.nowMs >= doneAtMs + moveCase.afterDoneMs;
    return mesh.nowMs >= durationMs + 60_000;
  };
  const takenBackAnywhere = (): boolean =>
    mesh.nodes().some(({ view }) => view.statuses()[0]?.verdict === MoveVerdict.RolledBack);
  while (!isOver()) {
    mesh.advance(100, () => {
      traffic.tick();
      otherTraffic();
    });
    countNewCalls();
    if (status()?.verdict === MoveVerdict.Done) doneAtMs ??= mesh.nowMs;
    if (takenBackAtMs === undefined && takenBackAnywhere()) {
      takenBackAtMs = mesh.nowMs;
      atVerdict = countsNow();
    }
  }
  const last = status();
  mesh.close();
  return {
    verdict: last?.verdict ?? MoveVerdict.Undecided,
    reason: last?.reason ?? '',
    decidedAfterMs: doneAtMs ?? takenBackAtMs,
    firstBadToTakenBackMs:
      takenBackAtMs === undefined ? undefined : takenBackAtMs - (traffic.firstBadAtMs ?? 0),
    ...(atVerdict ?? countsNow()),
    callsAfterVerdict,
    lastCallAfterVerdictMs,
    unprovenSharePercent: (100 * traffic.unprovenWatchedCalls) / Math.max(1, traffic.unprovenCalls),
  };
};
