import type { InstancePlan } from '@sequoiafield/stand-ins';

/** Files of a configuration folder by name. */
export type ConfigurationFiles = Readonly<Record<string, string>>;

/** Move that a test adds to a configuration. */
export interface TestMove {
  readonly id: string;
  readonly service: string;
  readonly from: string;
  readonly to: string;
  readonly startAt: Date;
  readonly finishBy: Date;
}

const serviceText = (name: string, priority: string): string =>
  [
    `[service ${name}]`,
    `priority = ${priority}`,
    'stable_version = v1',
    'slots = 10',
    'connections_max = 130',
    'failure_limit_percent = 2',
    'latency_limit_ms = 250',
    '',
  ].join('\n');

const routeText = (service: string, method: string, path: string, isIdempotent: boolean): string =>
  [
    `[route ${service}-${method.toLowerCase()}]`,
    `service = ${service}`,
    `method = ${method}`,
    `path = ${path}`,
    `idempotent = ${isIdempotent ? 'yes' : 'no'}`,
    'deadline_ms = 3000',
    'retry_budget_percent = 20',
    '',
  ].join('\n');

/** Returns one service with a lookup `GET /NAME/tabs/*` and a request `POST /NAME/settle/*`. */
const prefixedServiceText = (name: string): string =>
  serviceText(name, 'critical') +
  routeText(name, 'GET', `/${name}/tabs/*`, true) +
  routeText(name, 'POST', `/${name}/settle/*`, false);

const dataCentreText = (name: string, state: string): string =>
  [`[data-centre ${name}]`, 'region = local', `state = ${state}`, 'ramp_s = 5', ''].join('\n');

/**
 * Builds the settlement service of Kerasma, with lookups of tabs and with settlements, which must
 * not be repeated.
 */
export const buildSettlementConfiguration = (
  dataCentres: Readonly<Record<string, 'in' | 'out'>>,
): ConfigurationFiles => ({
  '10-data-centres.ini': Object.entries(dataCentres)
    .map(([name, state]) => dataCentreText(name, state))
    .join('\n'),
  '20-settlement.ini':
    serviceText('settlement', 'critical') +
    routeText('settlement', 'GET', '/tabs/*', true) +
    routeText('settlement', 'POST', '/settle/*', false),
  '90-objectives.ini': [
    '[objective settlement]',
    'service = settlement',
    'target_percent = 99.9',
    'latency_ms = 300',
    'window_d = 30',
    '',
  ].join('\n'),
});

/** Builds services with separate paths, so that one mesh runs several scenarios at a time. */
export const buildServiceConfiguration = (
  dataCentres: readonly string[],
  services: readonly string[],
): ConfigurationFiles => ({
  '10-data-centres.ini': dataCentres.map((name) => dataCentreText(name, 'in')).join('\n'),
  '20-services.ini': services.map(prefixedServiceText).join('\n'),
});

const moveText = (move: TestMove): string =>
  [
    `[move ${move.id}]`,
    `service = ${move.service}`,
    `from = ${move.from}`,
    `to = ${move.to}`,
    `start_at = ${move.startAt.toISOString()}`,
    `finish_by = ${move.finishBy.toISOString()}`,
    'unproven_cap_percent = 5',
    '',
  ].join('\n');

/** Adds moves in a separate file. */
export const withMoves = (
  files: ConfigurationFiles,
  moves: readonly TestMove[],
): ConfigurationFiles => ({ ...files, '50-move.ini': moves.map(moveText).join('\n') });

/** Adds a move in a separate file. */
export const withMove = (files: ConfigurationFiles, move: TestMove): ConfigurationFiles =>
  withMoves(files, [move]);

/** Plans one instance of settlement v1 per data centre listed, with ids `s1`, `s2` and so on. */
export const planSettlementInstances = (dataCentres: readonly string[]): readonly InstancePlan[] =>
  dataCentres.map((dataCentre, index) => ({
    id: `s${index + 1}`,
    dataCentre,
    service: 'settlement',
    backendVersion: 'v1',
    behaviour: { serviceTimeMs: 5 },
  }));

/** Plans instances of v1 and v2 in the data centres in turn; ids are `SERVICE-v1-1` and so on. */
export const planMoveInstances = (
  service: string,
  dataCentres: readonly string[],
  countPerVersion: number,
): readonly InstancePlan[] =>
  ['v1', 'v2'].flatMap((backendVersion) =>
    Array.from({ length: countPerVersion }, (_, index) => ({
      id: `${service}-${backendVersion}-${index + 1}`,
      dataCentre: dataCentres[index % dataCentres.length]!,
      ...{ service, backendVersion, behaviour: { serviceTimeMs: 10 } },
    })),
  );
