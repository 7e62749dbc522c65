import assert from 'node:assert/strict';
import { test } from 'node:test';
import { matchSnapshot } from '@sequoiafield/test-kit';
import type { MeshSection, ServiceSection } from '@sequoiafield/types';
import {
  buildManifest,
  checkHead,
  checkReferences,
  ConfigDataError,
  digestOf,
  loadFiles,
  parseManifest,
  parseSection,
  serializeSection,
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
const { configuration } = loadFiles('conf', [{ name: 'a.ini', text }]);
const sections = toSections(configuration);
const { manifest, body: manifestBody, digest: manifestDigest } = buildManifest(3, sections);
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
  matchSnapshot(import.meta.filename, 'bodies', [...sections, { manifestBody, manifestDigest }]);
  assert.equal(
    toCanonicalJson({ b: [{ d: 1, c: undefined }], a: null }),
    toCanonicalJson({ a: null, b: [{ d: 1 }] }),
  );
});

test('own bodies are read back as the same configuration', () => {
  // Guards against schemas that refuse what the folder allows.
  const parsed = sections.map(({ name, body, digest }) => parseSection(name, body, digest));
  assert.deepEqual(
    parsed,
    [
      { kind: 'service', section: lager },
      { kind: 'mesh', mesh: configuration.mesh },
    ].reverse(),
  );
  assert.deepEqual(parseManifest(manifestBody, manifestDigest), manifest);
});

test('bodies from a peer or the store are refused if anything is wrong', () => {
  // Guards against corrupt, cut or foreign sections that reach the tables.
  const body = sections[1]?.body ?? '';
  const withService = (change: object): string =>
    toCanonicalJson({ ...lager, service: { ...lager.service, ...change } });
  const cases: Record<string, () => unknown> = {
    'one byte differs': () => parseSection('lager', `${body} `, digestOf(body)),
    'cut off': () => parseSection('lager', body.slice(0, -1)),
    'section of another service': () => parseSection('rounds', body),
    'unknown key': () => parseSection('lager', withService({ colour: 'red' })),
    'wrong type': () => parseSection('lager', withService({ slots: '10' })),
    'number without a meaning': () => parseSection('lager', withService({ slots: 0 })),
    'mesh that is a service': () => parseSection('mesh', body),
    'manifest without mesh': () => parseManifest('{"configVersion":1,"sections":{}}'),
    'manifest with another digest': () => parseManifest(manifestBody, digestOf('')),
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
  const withIndex = (change: object): MeshSection => ({
    ...mesh,
    routeIndex: mesh.routeIndex.map((entry) => ({ ...entry, ...change })),
  });
  const renamed = new Map([['rounds', lager]]);
  const onlyMesh = buildManifest(3, [serializeSection('mesh', mesh)]).manifest;
  const found = {
    'all well': checkReferences({ mesh, services }, manifest),
    'partial snapshot': checkReferences({ mesh, services: new Map() }, manifest),
    'service without a section': checkReferences({ mesh, services: new Map() }, onlyMesh),
    'index of another path': checkReferences(
      { mesh: withIndex({ path: '/other' }), services },
      manifest,
    ),
    'section under another name': checkReferences({ mesh, services: renamed }, manifest),
  };
  matchSnapshot(import.meta.filename, 'references', found);
});
