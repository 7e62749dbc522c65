import { DataCentreState, Priority } from '@sequoiafield/types';
import { z } from 'zod';
import {
  iniValue,
  isRoutePath,
  keyList,
  nameValue,
  oneOf,
  percentage,
  percentageFromZero,
  utcTime,
  versionValue,
  wholeNumber,
} from './ini-values.js';

/** HTTP methods that a route may have. */
export const routeMethods = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'] as const;

/** Priorities by the names that the files use. */
export const prioritiesByName = {
  critical: Priority.Critical,
  high: Priority.High,
  normal: Priority.Normal,
  low: Priority.Low,
} as const;

const dataCentreStatesByName = { in: DataCentreState.InService, out: DataCentreState.Evacuated };
const dayMs = 86_400_000;

/** Schemas of each kind of section; every value is decoded INI text. */
export const sectionSchemas = {
  service: z.strictObject({
    priority: oneOf(prioritiesByName),
    stable_version: versionValue(),
    slots: wholeNumber('', 1, 10_000),
    connections_max: wholeNumber('', 1, 100_000),
    failure_limit_percent: percentageFromZero(),
    latency_limit_ms: wholeNumber('ms', 1, 600_000),
  }),
  route: z.strictObject({
    service: nameValue(),
    method: iniValue(`one of ${routeMethods.join(', ')}`, (text) =>
      routeMethods.find((method) => method === text),
    ),
    path: iniValue('a path such as /tabs/* with "*" only at the end', (text) =>
      isRoutePath(text) ? text : undefined,
    ),
    idempotent: oneOf({ yes: true, no: false }),
    public: oneOf({ yes: true, no: false }).optional(),
    deadline_ms: wholeNumber('ms', 1, 600_000),
    retry_budget_percent: percentageFromZero(),
  }),
  'data-centre': z.strictObject({
    region: nameValue(),
    state: oneOf(dataCentreStatesByName),
    ramp_s: wholeNumber('s', 0, 86_400),
    changed_at: utcTime().optional(),
  }),
  move: z.strictObject({
    service: nameValue(),
    from: versionValue(),
    to: versionValue(),
    start_at: utcTime(),
    finish_by: utcTime(),
    unproven_cap_percent: percentage(0),
  }),
  account: z.strictObject({
    keys: keyList(),
    priority: oneOf(prioritiesByName).optional(),
  }),
  objective: z.strictObject({
    service: nameValue(),
    target_percent: iniValue('a percentage above 0 and below 100, without a unit', (text) => {
      const value = Number(text);
      return /^\d{1,2}(?:\.\d{1,6})?$/.test(text) && value > 0 ? value : undefined;
    }),
    latency_ms: wholeNumber('ms', 1, dayMs),
    window_d: wholeNumber('d', 1, 366),
  }),
} as const;

/** Kind of a section of the configuration folder. */
export type SectionKind = keyof typeof sectionSchemas;

/** Decoded keys of one kind of section. */
export type SectionValues<K extends SectionKind> = z.output<(typeof sectionSchemas)[K]>;

/** Kinds of section in the order in which `diff` lists them. */
export const sectionKinds = Object.keys(sectionSchemas) as readonly SectionKind[];
