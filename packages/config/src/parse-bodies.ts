import {
  meshSectionName,
  routesSectionNames,
  sharedSectionNames,
  type HeadRecord,
  type Manifest,
  type MeshSection,
  type RetirementRecord,
  type RoutesSection,
  type SeedRecord,
  type ServiceSection,
  type VerdictRecord,
} from '@sequoiafield/types';
import type { z } from 'zod';
import {
  headSchema,
  manifestSchema,
  retirementSchema,
  meshSchema,
  routesSchema,
  seedRecordSchema,
  serviceSectionSchema,
  verdictSchema,
} from './body-schemas.js';
import { sha256Hex } from './canonical-json.js';
import { ConfigDataError } from './problems.js';
import { routesSectionOf } from './sections.js';

/** A checked section: section `mesh`, a section of the route index, or that of a service. */
export type ParsedSection =
  | { readonly kind: 'mesh'; readonly mesh: MeshSection }
  | { readonly kind: 'routes'; readonly routes: RoutesSection }
  | { readonly kind: 'service'; readonly section: ServiceSection };

const parseJson = (subject: string, text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch (error) {
    throw new ConfigDataError(`${subject} is not valid JSON:`, { cause: error });
  }
};

const validateSchema = <T>(subject: string, schema: z.ZodType<T>, value: unknown): T => {
  const result = schema.safeParse(value);
  if (result.success) return result.data;
  const issues = result.error.issues.map(
    ({ path, message }) => `${path.join('.') || 'body'}: ${message}`,
  );
  throw new ConfigDataError(`${subject} does not match its schema; ${issues.join('; ')}`);
};

const checkDigest = (subject: string, body: string, expectedDigest: string | undefined): void => {
  if (expectedDigest === undefined) return;
  const digest = sha256Hex(body);
  if (digest !== expectedDigest) {
    throw new ConfigDataError(`${subject} has digest ${digest}; expected ${expectedDigest}`);
  }
};

const checkServiceSection = (name: string, section: ServiceSection): void => {
  const { service, routes, moves, objective } = section;
  const misplaced = [
    ...(service.name === name ? [] : [`service ${service.name}`]),
    ...routes.filter((route) => route.service !== name).map((route) => `route ${route.name}`),
    ...moves.filter((move) => move.service !== name).map((move) => `move ${move.id}`),
    ...(objective && objective.service !== name ? [`objective of ${objective.service}`] : []),
  ];
  if (misplaced.length > 0) {
    throw new ConfigDataError(
      `Section ${name} contains entries of another service: ${misplaced.join(', ')}`,
    );
  }
};

const checkRoutesSection = (name: string, { routeIndex }: RoutesSection): void => {
  const misplaced = routeIndex.filter(({ service }) => routesSectionOf(service) !== name);
  if (misplaced.length > 0) {
    const routes = misplaced.map((entry) => `route ${entry.name}`).join(', ');
    throw new ConfigDataError(`Section ${name} contains entries of another section: ${routes}`);
  }
};

/**
 * Parses and checks the body of a section that came from a peer or the store. With an expected
 * digest, a body that differs in any byte is rejected before it is parsed.
 *
 * @example
 * const parsed = parseSection('settlement', body, manifest.sections.settlement);
 * @throws ConfigDataError if the digest does not match, the body does not match its schema, or an
 * entry belongs to another section.
 */
export const parseSection = (
  name: string,
  body: string,
  expectedDigest?: string,
): ParsedSection => {
  const subject = `Section ${name}`;
  checkDigest(subject, body, expectedDigest);
  const value = parseJson(subject, body);
  if (name === meshSectionName) {
    return { kind: 'mesh', mesh: validateSchema(subject, meshSchema, value) };
  }
  if (routesSectionNames.includes(name)) {
    const routes: RoutesSection = validateSchema(subject, routesSchema, value);
    checkRoutesSection(name, routes);
    return { kind: 'routes', routes };
  }
  const section: ServiceSection = validateSchema(subject, serviceSectionSchema, value);
  checkServiceSection(name, section);
  return { kind: 'service', section };
};

/**
 * Parses and checks a manifest that came from a peer or the store.
 *
 * @example
 * const manifest = parseManifest(body, head.manifestDigest);
 * @throws ConfigDataError if the digest or the schema does not match, or a section that all nodes
 * hold is absent.
 */
export const parseManifest = (body: string, expectedDigest?: string): Manifest => {
  checkDigest('Manifest', body, expectedDigest);
  const manifest = validateSchema('Manifest', manifestSchema, parseJson('Manifest', body));
  const absent = sharedSectionNames.filter((name) => manifest.sections[name] === undefined);
  if (absent.length > 0) {
    throw new ConfigDataError(`Manifest has no section ${absent.join(', ')}`);
  }
  return manifest;
};

/**
 * Checks a head record that came from a peer as an object against its schema.
 *
 * @example
 * const head = checkHead(entry.body);
 * @throws ConfigDataError if it does not match its schema.
 */
export const checkHead = (value: unknown): HeadRecord =>
  validateSchema('Head record', headSchema, value);

/**
 * Parses and checks a head record or history entry that came from the store.
 *
 * @example
 * const { configVersion } = parseHead(entry.value);
 * @throws ConfigDataError if it is not JSON or does not match its schema.
 */
export const parseHead = (body: string): HeadRecord => checkHead(parseJson('Head record', body));

/**
 * Parses and checks a verdict record that came from the store.
 *
 * @example
 * const { verdict, reason } = parseVerdict(entry.value);
 * @throws ConfigDataError if it is not JSON or does not match its schema.
 */
export const parseVerdict = (body: string): VerdictRecord =>
  validateSchema('Verdict record', verdictSchema, parseJson('Verdict record', body));

/**
 * Parses and checks a seed record that came from the store.
 *
 * @example
 * const { seeds } = parseSeeds(entry.value);
 * @throws ConfigDataError if it is not JSON or does not match its schema.
 */
export const parseSeeds = (body: string): SeedRecord =>
  validateSchema('Seed record', seedRecordSchema, parseJson('Seed record', body));

/**
 * Parses and checks the retirement record, which holds how far old versions are retired.
 *
 * @example
 * const { configVersion } = parseRetirement(entry.value);
 * @throws ConfigDataError if it is not JSON or does not match its schema.
 */
export const parseRetirement = (body: string): RetirementRecord =>
  validateSchema('Retirement record', retirementSchema, parseJson('Retirement record', body));
