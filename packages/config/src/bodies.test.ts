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

const text = `[service lager]
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
const { configuration } = parseFolderFiles('conf', [{ name: 'a.ini', text }]);
const sections = toSections(configuration);
const { manifest, body: manifestBody, digest: manifestDigest } = buildManifest(3, sections);
const index = routesSectionOf('lager');
const bodyOf = (name: string): string =>
  sections.find((section) => section.name === name)?.body ?? '';
const lager = configuration.services.get('lager') as ServiceSection;

const messageOf = (run: () => unknown): string => {
  try {
    run();
  } catch (error) {
    if (error instanceof ConfigDataError) return error.message;
    throw error;
  }
  return 'accepted';
};

test('sections, manifest and their digests keep their form', () => {
  // Guards against a changed serialization, by which nodes of two releases would disagree.
  const withoutRoutes = sections.filter(({ body }) => body === '{"routeIndex":[]}');
  const others = sections.filter((section) => !withoutRoutes.includes(section));
  assert.equal(withoutRoutes.length, routesSectionNames.length - 1);
  matchSnapshot(import.meta.filename, 'bodies', [...others, { manifestBody, manifestDigest }]);
  assert.equal(
    toCanonicalJson({ b: [{ d: 1, c: undefined }], a: null }),
    toCanonicalJson({ a: null, b: [{ d: 1 }] }),
  );
});

test('own bodies are read back as the same configuration', () => {
  // Guards against schemas that refuse what the folder allows.
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
  assert.deepEqual(services, [lager]);
  assert.deepEqual(parseManifest(manifestBody, manifestDigest), manifest);
});

test('a change of one route changes one section of the index', () => {
  // Guards against an index that moves as a whole to every node with each change.
  const changed = parseFolderFiles('conf', [
    { name: 'a.ini', text: text.replace('/stock/:id', '/all') },
  ]);
  const names = toSections(changed.configuration).flatMap(({ name, digest }) =>
    manifest.sections[name] === digest ? [] : [name],
  );
  assert.deepEqual(names, [index, 'lager']);
});

test('bodies from a peer or the store are refused if anything is wrong', () => {
  // Guards against corrupt, cut or foreign sections that reach the tables.
  const body = bodyOf('lager');
  const withService = (change: object): string =>
    toCanonicalJson({ ...lager, service: { ...lager.service, ...change } });
  const cases: Record<string, () => unknown> = {
    'one byte differs': () => parseSection('lager', `${body} `, sha256Hex(body)),
    'cut off': () => parseSection('lager', body.slice(0, -1)),
    'section of another service': () => parseSection('rounds', body),
    'unknown key': () => parseSection('lager', withService({ colour: 'red' })),
    'wrong type': () => parseSection('lager', withService({ slots: '10' })),
    'number without a meaning': () => parseSection('lager', withService({ slots: 0 })),
    'mesh that is a service': () => parseSection('mesh', body),
    'routes of another section': () => parseSection('routes-00', bodyOf(index)),
    'manifest without mesh': () =>
      parseManifest(
        toCanonicalJson({ ...manifest, sections: { ...manifest.sections, mesh: undefined } }),
      ),
    'manifest without a section of the index': () =>
      parseManifest(
        toCanonicalJson({ ...manifest, sections: { ...manifest.sections, [index]: undefined } }),
      ),
    'manifest with another digest': () => parseManifest(manifestBody, sha256Hex('')),
    'head without an operation': () =>
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
  matchSnapshot(import.meta.filename, 'refused bodies', messages.join('\n'));
});

test('a snapshot with a dangling reference is found before the swap', () => {
  // Guards invariant 2: no route refers to a service that its node lacks.
  const { mesh, services } = configuration;
  const withIndex = (change: object): MeshTopology => ({
    ...mesh,
    routeIndex: mesh.routeIndex.map((entry) => ({ ...entry, ...change })),
  });
  const renamed = new Map([['rounds', lager]]);
  const shared = sections.filter(({ name }) => name !== 'lager');
  const onlyShared = buildManifest(3, shared).manifest;
  const withoutIndex = buildManifest(
    3,
    sections.filter(({ name }) => name !== index),
  ).manifest;
  const found = {
    'all well': checkReferences({ mesh, services }, manifest),
    'partial snapshot': checkReferences({ mesh, services: new Map() }, manifest),
    'service without a section': checkReferences({ mesh, services: new Map() }, onlyShared),
    'manifest without a section of the index': checkReferences({ mesh, services }, withoutIndex),
    'index section left out': checkReferences(
      { mesh: { ...mesh, routeIndex: [] }, services },
      manifest,
    ),
    'index of another path': checkReferences(
      { mesh: withIndex({ path: '/other' }), services },
      manifest,
    ),
    'section under another name': checkReferences({ mesh, services: renamed }, manifest),
  };
  matchSnapshot(import.meta.filename, 'references', found);
});
