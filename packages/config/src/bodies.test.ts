import assert from 'node:assert/strict';
import { test } from 'node:test';
import { matchSnapshot } from '@sequoiafield/test-kit';
import { routesSectionNames, type MeshTopology, type ServiceSection } from '@sequoiafield/types';
import {
  buildManifest,
  checkHead,
  checkReferences,
  ConfigDataError,
  sha256Hex,
  joinMesh,
  parseFolderFiles,
  parseManifest,
  parseSection,
  routesSectionOf,
  toCanonicalJson,
  toSections,
} from './index.js';

const folderText = `[service lager]
priority = normal
stable_version = v1
slots = 10
connections_max = 110
failure_limit_percent = 2
latency_limit_ms = 250
[route stock]
service = lager
method = GET
path = /stock/:id
idempotent = yes
deadline_ms = 500
retry_budget_percent = 20
[data-centre sto-1]
region = norr
state = in
ramp_s = 30
`;
const { configuration } = parseFolderFiles('conf', [{ name: 'a.ini', text: folderText }]);
const sections = toSections(configuration);
const { manifest, body: manifestBody, digest: manifestDigest } = buildManifest(3, sections);
const lagerRoutesSectionName = routesSectionOf('lager');
const bodyOf = (name: string): string =>
  sections.find((section) => section.name === name)?.body ?? '';
const lagerSection = configuration.services.get('lager') as ServiceSection;

const messageOf = (run: () => unknown): string => {
  try {
    run();
  } catch (error) {
    if (error instanceof ConfigDataError) return error.message;
    throw error;
  }
  return 'accepted';
};

test('the serialization of sections and manifest and their digests are stable', () => {
  // Guards against a changed serialization: nodes of two releases would compute different digests.
  const withoutRoutes = sections.filter(({ body }) => body === '{"routeIndex":[]}');
  const sectionsWithContent = sections.filter((section) => !withoutRoutes.includes(section));
  assert.equal(withoutRoutes.length, routesSectionNames.length - 1);
  matchSnapshot(import.meta.filename, 'bodies', [
    ...sectionsWithContent,
    { manifestBody, manifestDigest },
  ]);
  assert.equal(
    toCanonicalJson({ b: [{ d: 1, c: undefined }], a: null }),
    toCanonicalJson({ a: null, b: [{ d: 1 }] }),
  );
});

test('serialized sections are parsed back to the same configuration', () => {
  // Guards against schemas that reject values which a configuration folder may contain.
  const parsed = sections.map(({ name, body, digest }) => parseSection(name, body, digest));
  const mesh = parsed.flatMap((section) => (section.kind === 'mesh' ? [section.mesh] : []));
  const routes = parsed.flatMap((section) => (section.kind === 'routes' ? [section.routes] : []));
  const services = parsed.flatMap((section) =>
    section.kind === 'service' ? [section.section] : [],
  );
  assert.deepEqual(
    mesh.map((section) => joinMesh(section, routes)),
    [configuration.mesh],
  );
  assert.deepEqual(services, [lagerSection]);
  assert.deepEqual(parseManifest(manifestBody, manifestDigest), manifest);
});

test('a change of one route changes one section of the index', () => {
  // Guards against an index that is sent as a whole to every node with each change.
  const changed = parseFolderFiles('conf', [
    { name: 'a.ini', text: folderText.replace('/stock/:id', '/all') },
  ]);
  const names = toSections(changed.configuration).flatMap(({ name, digest }) =>
    manifest.sections[name] === digest ? [] : [name],
  );
  assert.deepEqual(names, [lagerRoutesSectionName, 'lager']);
});

test('invalid bodies from a peer or the store are rejected', () => {
  // Guards against corrupt, truncated or misplaced sections that reach the snapshot of a node.
  const body = bodyOf('lager');
  const withService = (change: object): string =>
    toCanonicalJson({ ...lagerSection, service: { ...lagerSection.service, ...change } });
  const cases: Record<string, () => unknown> = {
    'one byte differs': () => parseSection('lager', `${body} `, sha256Hex(body)),
    'truncated body': () => parseSection('lager', body.slice(0, -1)),
    'section of another service': () => parseSection('rounds', body),
    'unknown key': () => parseSection('lager', withService({ colour: 'red' })),
    'wrong type of a value': () => parseSection('lager', withService({ slots: '10' })),
    'number out of range': () => parseSection('lager', withService({ slots: 0 })),
    'section of a service under the name mesh': () => parseSection('mesh', body),
    'routes of another section': () => parseSection('routes-00', bodyOf(lagerRoutesSectionName)),
    'manifest without mesh': () =>
      parseManifest(
        toCanonicalJson({ ...manifest, sections: { ...manifest.sections, mesh: undefined } }),
      ),
    'manifest without a section of the index': () =>
      parseManifest(
        toCanonicalJson({
          ...manifest,
          sections: { ...manifest.sections, [lagerRoutesSectionName]: undefined },
        }),
      ),
    'manifest with another digest': () => parseManifest(manifestBody, sha256Hex('')),
    'head without an operation id': () =>
      checkHead({ configVersion: 1, manifestDigest, acceptedAtUnixMs: 1, author: 'a' }),
    'head with version 0': () =>
      checkHead({
        configVersion: 0,
        manifestDigest,
        operationId: 'x',
        acceptedAtUnixMs: 1,
        author: 'a',
      }),
  };
  const messages = Object.entries(cases).map(([name, run]) => `${name}: ${messageOf(run)}`);
  matchSnapshot(import.meta.filename, 'rejected bodies', messages.join('\n'));
});

test('a dangling reference is found before a snapshot is swapped in', () => {
  // Guards invariant 2: no route refers to a service that is missing on its node.
  const { mesh, services } = configuration;
  const withIndex = (change: object): MeshTopology => ({
    ...mesh,
    routeIndex: mesh.routeIndex.map((entry) => ({ ...entry, ...change })),
  });
  const renamedServices = new Map([['rounds', lagerSection]]);
  const sharedSections = sections.filter(({ name }) => name !== 'lager');
  const manifestOfSharedSections = buildManifest(3, sharedSections).manifest;
  const manifestWithoutIndexSection = buildManifest(
    3,
    sections.filter(({ name }) => name !== lagerRoutesSectionName),
  ).manifest;
  const problemsByCase = {
    'consistent snapshot': checkReferences({ mesh, services }, manifest),
    'partial snapshot': checkReferences({ mesh, services: new Map() }, manifest),
    'service without a section': checkReferences(
      { mesh, services: new Map() },
      manifestOfSharedSections,
    ),
    'manifest without a section of the index': checkReferences(
      { mesh, services },
      manifestWithoutIndexSection,
    ),
    'index without a route': checkReferences(
      { mesh: { ...mesh, routeIndex: [] }, services },
      manifest,
    ),
    'index of another path': checkReferences(
      { mesh: withIndex({ path: '/other' }), services },
      manifest,
    ),
    'section under another name': checkReferences({ mesh, services: renamedServices }, manifest),
  };
  matchSnapshot(import.meta.filename, 'references', problemsByCase);
});
