import {
  Priority,
  type ClientAccount,
  type Configuration,
  type ServiceSection,
} from '@sequoiafield/types';
import { prioritiesByName } from './folder-schema.js';

/** Keys and values of each section as INI text, by title such as `service settlement`. */
export type RenderedConfiguration = ReadonlyMap<string, ReadonlyMap<string, string>>;

const shownHashDigits = 12;

type KeyValues = Readonly<Record<string, string | number>>;

const formatPriority = (priority: Priority): string =>
  Object.entries(prioritiesByName).find(([, value]) => value === priority)?.[0] ?? String(priority);

const formatTime = (unixMs: number): string => new Date(unixMs).toISOString().replace('.000Z', 'Z');

const renderService = (section: ServiceSection): [string, KeyValues][] => {
  const { service, routes, moves, objective } = section;
  const rendered: [string, KeyValues][] = [
    [
      `service ${service.name}`,
      {
        priority: formatPriority(service.priority),
        stable_version: service.stableVersion,
        slots: service.slots,
        connections_max: service.connectionsMax,
        failure_limit_percent: service.failureLimitPercent,
        latency_limit_ms: service.latencyLimitMs,
      },
    ],
  ];
  routes.forEach((route) =>
    rendered.push([
      `route ${route.name}`,
      {
        service: route.service,
        method: route.method,
        path: route.path,
        idempotent: route.isIdempotent ? 'yes' : 'no',
        ...(route.isPublic && { public: 'yes' }),
        deadline_ms: route.deadlineMs,
        retry_budget_percent: route.retryBudgetPercent,
      },
    ]),
  );
  moves.forEach((move) =>
    rendered.push([
      `move ${move.id}`,
      {
        service: move.service,
        from: move.fromVersion,
        to: move.toVersion,
        start_at: formatTime(move.startAtUnixMs),
        finish_by: formatTime(move.finishByUnixMs),
        unproven_cap_percent: move.unprovenCapPercent,
      },
    ]),
  );
  if (objective) {
    rendered.push([
      `objective of ${objective.service}`,
      {
        service: objective.service,
        target_percent: objective.targetPercent,
        latency_ms: objective.latencyMs,
        window_d: objective.windowDays,
      },
    ]);
  }
  return rendered;
};

/** Renders an account with the first digits of its keys' hashes, which tell keys apart but not what they are. */
const renderAccount = ({ name, keyHashes, rank }: ClientAccount): [string, KeyValues] => [
  `account ${name}`,
  {
    keys: keyHashes.map((hash) => `sha256:${hash.slice(0, shownHashDigits)}`).join(', '),
    ...(rank !== undefined && { priority: formatPriority(rank) }),
  },
];

/**
 * Renders a configuration as the keys and values of its INI sections. `changed_at` is left out,
 * since it is set when a configuration is accepted. An objective has its service's name in the
 * title, because the name of its section is not part of the accepted configuration.
 *
 * @example
 * renderConfiguration(configuration).get('service settlement')?.get('slots'); // '10'
 */
export const renderConfiguration = ({ mesh, services }: Configuration): RenderedConfiguration => {
  const dataCentres = mesh.dataCentres.map((dataCentre): [string, KeyValues] => [
    `data-centre ${dataCentre.name}`,
    { region: dataCentre.region, state: dataCentre.state, ramp_s: dataCentre.rampS },
  ]);
  const accounts = (mesh.accounts ?? []).map(renderAccount);
  const sections = [...[...services.values()].flatMap(renderService), ...dataCentres, ...accounts];
  return new Map(
    sections.map(([title, fields]) => [
      title,
      new Map(Object.entries(fields).map(([key, value]) => [key, String(value)])),
    ]),
  );
};
