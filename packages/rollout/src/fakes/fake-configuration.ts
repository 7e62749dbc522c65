import {
  DataCentreState,
  Priority,
  type MoveIntent,
  type ServiceSection,
  type Snapshot,
} from '@sequoiafield/types';

/** Options of the fake configurations of tests and benchmarks. */
export interface FakeConfigurationOptions {
  readonly configVersion?: number;
  readonly moves: readonly MoveIntent[];
  readonly routes?: readonly string[];
  readonly stableVersion?: string;
  readonly evacuatedDataCentres?: readonly string[];
  readonly failureLimitPercent?: number;
  readonly latencyLimitMs?: number;
}

/** Service of every fake configuration. */
export const fakeService = 'settlement';
/** Data centres of every fake configuration. */
export const fakeDataCentres = ['dc-1', 'dc-2', 'dc-3'] as const;

/**
 * Creates a snapshot with one service, three data centres and the given moves.
 *
 * @example
 * mesh.snapshot = fakeSnapshot({ moves: [fakeMove(mesh.startUnixMs)] });
 */
export const fakeSnapshot = (options: FakeConfigurationOptions): Snapshot => {
  const routes = options.routes ?? ['settle'];
  const section: ServiceSection = {
    service: {
      name: fakeService,
      priority: Priority.Critical,
      stableVersion: options.stableVersion ?? 'v1',
      slots: 10,
      connectionsMax: 130,
      failureLimitPercent: options.failureLimitPercent ?? 2,
      latencyLimitMs: options.latencyLimitMs ?? 250,
    },
    routes: routes.map((name) => ({
      ...{ name, service: fakeService, method: 'POST', path: `/${name}` },
      ...{ isIdempotent: false, deadlineMs: 2000, retryBudgetPercent: 10 },
    })),
    moves: options.moves,
  };
  return {
    configVersion: options.configVersion ?? 1,
    manifestDigest: '',
    mesh: {
      dataCentres: fakeDataCentres.map((name) => ({
        ...{ name, region: 'region-1', rampS: 30, changedAtUnixMs: 0 },
        state: options.evacuatedDataCentres?.includes(name)
          ? DataCentreState.Evacuated
          : DataCentreState.InService,
      })),
      routeIndex: [],
    },
    services: new Map([[fakeService, section]]),
  };
};

/**
 * Creates a move of the fake service, by default from v1 to v2 over 10 min.
 *
 * @example
 * const move = fakeMove(mesh.startUnixMs, { unprovenCapPercent: 2 });
 */
export const fakeMove = (startAtUnixMs: number, changes: Partial<MoveIntent> = {}): MoveIntent => ({
  id: 'settlement-v2',
  service: fakeService,
  fromVersion: 'v1',
  toVersion: 'v2',
  startAtUnixMs,
  finishByUnixMs: startAtUnixMs + 600_000,
  unprovenCapPercent: 5,
  ...changes,
});
