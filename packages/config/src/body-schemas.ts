import { DataCentreState, MoveVerdict, Priority } from '@sequoiafield/types';
import { z } from 'zod';
import { routeMethods } from './folder-schema.js';
import { isName, isRoutePath, isVersionName } from './ini-values.js';

const name = z.string().refine(isName, 'is not a valid name');
const version = z.string().refine(isVersionName, 'is not a valid version name');
const path = z.string().refine(isRoutePath, 'is not a valid path');
const count = z.int().positive();
const unixMs = z.int().nonnegative();
const percent = z.number().min(0).max(100);
const digest = z.string().regex(/^[0-9a-f]{64}$/, 'is not a SHA-256 digest in hex');

const indexEntry = z.strictObject({ name, service: name, method: z.enum(routeMethods), path });

const dataCentre = z.strictObject({
  name,
  region: name,
  state: z.enum(DataCentreState),
  rampS: z.int().nonnegative(),
  changedAtUnixMs: unixMs,
});

const service = z.strictObject({
  name,
  priority: z.enum(Priority),
  stableVersion: version,
  slots: count,
  connectionsMax: count,
  failureLimitPercent: percent,
  latencyLimitMs: count,
});

const route = z.strictObject({
  ...indexEntry.shape,
  isIdempotent: z.boolean(),
  deadlineMs: count,
  retryBudgetPercent: percent,
  isPublic: z.boolean().optional(),
});

const account = z.strictObject({
  name,
  keyHashes: z.array(digest),
  rank: z.int().nonnegative().optional(),
});

const move = z
  .strictObject({
    id: name,
    service: name,
    fromVersion: version,
    toVersion: version,
    startAtUnixMs: unixMs,
    finishByUnixMs: unixMs,
    unprovenCapPercent: percent,
  })
  .refine(
    (value) => value.fromVersion !== value.toVersion,
    'has the same fromVersion and toVersion',
  )
  .refine((value) => value.startAtUnixMs < value.finishByUnixMs, 'does not finish after its start');

const objective = z.strictObject({
  service: name,
  targetPercent: percent,
  latencyMs: count,
  windowDays: count,
});

/** Schema of the body of section `mesh`. */
export const meshSchema = z.strictObject({
  dataCentres: z.array(dataCentre),
  accounts: z.array(account).optional(),
});

/** Schema of the body of a section of the route index. */
export const routesSchema = z.strictObject({ routeIndex: z.array(indexEntry) });

/** Schema of the body of a service's section. */
export const serviceSectionSchema = z.strictObject({
  service,
  routes: z.array(route),
  moves: z.array(move),
  objective: objective.optional(),
});

/** Schema of a manifest. */
export const manifestSchema = z.strictObject({
  configVersion: count,
  sections: z.record(name, digest),
});

/** Schema of the head record and of a history entry. */
export const headSchema = z.strictObject({
  configVersion: count,
  manifestDigest: digest,
  operationId: z.string().min(1).max(100),
  acceptedAtUnixMs: unixMs,
  author: z.string().max(200),
});

/** Schema of a verdict record. */
export const verdictSchema = z.strictObject({
  moveId: name,
  service: name,
  verdict: z.enum(MoveVerdict),
  reason: z.string().max(1000),
  decidedAtUnixMs: unixMs,
  nodeId: z.string().max(100),
});

/** Schema of a seed record; the seeds are limited, since a joining node reads only a few. */
export const seedRecordSchema = z.strictObject({
  dataCentre: name,
  refreshedAtUnixMs: unixMs,
  seeds: z
    .array(
      z.strictObject({
        id: z.string().min(1).max(100),
        address: z.union([z.ipv4(), z.ipv6()]),
        gossipPort: z.int().min(1).max(65_535),
      }),
    )
    .max(32),
});

/** Schema of the retirement record, which holds how far old versions are retired. */
export const retirementSchema = z.strictObject({
  configVersion: z.int().nonnegative(),
  sectionsDone: z.int().nonnegative(),
});
