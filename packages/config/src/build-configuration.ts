import { hashKey } from '@sequoiafield/accounts';
import type {
  ClientAccount,
  Configuration,
  DataCentreIntent,
  MoveIntent,
  ObjectiveIntent,
  RouteIntent,
  RouteIndexEntry,
  ServiceIntent,
  ServiceSection,
} from '@sequoiafield/types';
import type { TypedSection, TypedSections } from './section-validator.js';

const toService = ({ name, values }: TypedSection<'service'>): ServiceIntent => ({
  name,
  priority: values.priority,
  stableVersion: values.stable_version,
  slots: values.slots,
  connectionsMax: values.connections_max,
  failureLimitPercent: values.failure_limit_percent,
  latencyLimitMs: values.latency_limit_ms,
});

const toRoute = ({ name, values }: TypedSection<'route'>): RouteIntent => ({
  name,
  service: values.service,
  method: values.method,
  path: values.path,
  isIdempotent: values.idempotent,
  deadlineMs: values.deadline_ms,
  retryBudgetPercent: values.retry_budget_percent,
  ...(values.public && { isPublic: true }),
});

const toAccount = ({ name, values }: TypedSection<'account'>): ClientAccount => ({
  name,
  keyHashes: values.keys.map(hashKey),
  ...(values.priority !== undefined && { rank: values.priority }),
});

const toDataCentre = ({ name, values }: TypedSection<'data-centre'>): DataCentreIntent => ({
  name,
  region: values.region,
  state: values.state,
  rampS: values.ramp_s,
  changedAtUnixMs: values.changed_at ?? 0,
});

const toMove = ({ name, values }: TypedSection<'move'>): MoveIntent => ({
  id: name,
  service: values.service,
  fromVersion: values.from,
  toVersion: values.to,
  startAtUnixMs: values.start_at,
  finishByUnixMs: values.finish_by,
  unprovenCapPercent: values.unproven_cap_percent,
});

const toObjective = ({ values }: TypedSection<'objective'>): ObjectiveIntent => ({
  service: values.service,
  targetPercent: values.target_percent,
  latencyMs: values.latency_ms,
  windowDays: values.window_d,
});

const toIndexEntry = ({ name, service, method, path }: RouteIntent): RouteIndexEntry => ({
  name,
  service,
  method,
  path,
});

/**
 * Builds the configuration from checked sections; data centres, accounts, routes and services are
 * sorted by name, moves by start time.
 *
 * @example
 * const configuration = buildConfiguration(typedSections);
 */
export const buildConfiguration = (sections: TypedSections): Configuration => {
  const routes = sections.route.map(toRoute);
  const moves = sections.move
    .map(toMove)
    .sort((left, right) => left.startAtUnixMs - right.startAtUnixMs);
  const objectives = sections.objective.map(toObjective);
  const services = new Map<string, ServiceSection>();
  sections.service.map(toService).forEach((service) => {
    const objective = objectives.find((candidate) => candidate.service === service.name);
    services.set(service.name, {
      service,
      routes: routes.filter((route) => route.service === service.name),
      moves: moves.filter((move) => move.service === service.name),
      ...(objective && { objective }),
    });
  });
  const accounts = sections.account.map(toAccount);
  return {
    mesh: {
      dataCentres: sections['data-centre'].map(toDataCentre),
      ...(accounts.length > 0 && { accounts }),
      routeIndex: routes.map(toIndexEntry),
    },
    services,
  };
};
