import assert from 'node:assert/strict';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { matchSnapshot } from '@sequoiafield/test-kit';
import {
  ConfigRejectedError,
  diffConfigurations,
  formatDifference,
  parseFolderFiles,
  loadFolder,
} from './index.js';

const baseText = `[service settlement]
priority = critical ; before lookups
stable_version = v1
slots = 10
connections_max = 130
failure_limit_percent = 2
latency_limit_ms = 250

[route settle]
service = settlement
method = POST
path = /settle/*
idempotent = no
deadline_ms = 2000
retry_budget_percent = 10

[data-centre ath-1]
region = hellas
state = in
ramp_s = 30

[move settlement-v2]
service = settlement
from = v1
to = v2
start_at = 2026-12-04T10:00:00Z
finish_by = 2026-12-04T10:10:00Z
unproven_cap_percent = 5

[objective settlement]
service = settlement
target_percent = 99.9
latency_ms = 300
window_d = 30
`;

const moveText = (name: string, from: string, to: string, start: string, finish: string): string =>
  `[move ${name}]\nservice = settlement\nfrom = ${from}\nto = ${to}\n` +
  `start_at = 2026-12-04T${start}Z\nfinish_by = 2026-12-04T${finish}Z\nunproven_cap_percent = 5\n`;

/** Text of a second file, by the error for which it must be rejected. */
const rejectedSecondFiles: Readonly<Record<string, string>> = {
  'unknown section': '[sevice settlement]\nslots = 1',
  'section without a name': '[service]\nslots = 1',
  'invalid name': '[service Settle/ment]',
  'service with the name of section mesh': '[service mesh]',
  'service with the name of a route index section': '[service routes-07]',
  'unknown key': '[service settlement]\nslot = 1',
  'known key with another unit': '[service settlement]\nlatency_limit_s = 1',
  'value with a unit': '[service settlement]\nlatency_limit_ms = 250ms',
  'number out of range': '[service settlement]\nslots = 0',
  'fraction for a whole number': '[service settlement]\nslots = 1.5',
  'percentage above 100': '[service settlement]\nfailure_limit_percent = 100.5',
  'value that is not one of the choices': '[data-centre ath-1]\nstate = maybe',
  'boolean that is not yes or no': '[route settle]\nidempotent = true',
  'method in lower case': '[route settle]\nmethod = post',
  'path with an asterisk in the middle': '[route settle]\npath = /a/*/b',
  'time without a time zone': '[move settlement-v2]\nstart_at = 2026-12-04T10:00:00',
  'date that does not exist': '[move settlement-v2]\nstart_at = 2026-02-30T10:00:00Z',
  'missing keys': '[data-centre ath-2]\nregion = hellas',
  'dangling references': '[route settle]\nservice = settlment\n[objective settlement]\nservice = x',
  'dangling reference in a section with another invalid value':
    '[route settle]\nservice = settlment\ndeadline_ms = soon',
  'section twice in one file':
    '[service settlement]\nslots = 1\n\n[service  settlement]\nslots = 2',
  'key twice in one file': '[service settlement]\nslots = 1\nslots = 2',
  'key before any section': 'slots = 1',
  'line that is not a key': '[service settlement]\nslots',
  'section header without closing bracket': '[service settlement\nslots = 1',
  'same method and path twice':
    '[route other]\nservice = settlement\nmethod = POST\npath = /settle/*\nidempotent = no\n' +
    'deadline_ms = 1\nretry_budget_percent = 0',
  'two objectives of a service':
    '[objective other]\nservice = settlement\ntarget_percent = 99\nlatency_ms = 1\nwindow_d = 7',
  'move to the same version': '[move settlement-v2]\nto = v1',
  'move that ends before its start': '[move settlement-v2]\nfinish_by = 2026-12-04T09:00:00Z',
  'move of versions that the service does not have': '[service settlement]\nstable_version = v7',
  'overlapping moves of a service': moveText('settlement-v3', 'v2', 'v3', '10:09:59', '10:20:00'),
  'move from a version with which no earlier move ends': moveText(
    'settlement-v4',
    'v3',
    'v4',
    '11:00:00',
    '11:10:00',
  ),
};

const messageOf = (run: () => unknown): string => {
  try {
    run();
  } catch (error) {
    if (error instanceof ConfigRejectedError) return error.message;
    throw error;
  }
  return 'accepted';
};

const loadWithSecondFile = (second: string) =>
  parseFolderFiles('conf', [
    { name: '10-base.ini', text: baseText },
    { name: '20-second.ini', text: second },
  ]);

for (const [name, second] of Object.entries(rejectedSecondFiles)) {
  test(`a folder is rejected: ${name}`, () => {
    // Guards against input errors that reach nodes, and messages without file, line or expectation.
    matchSnapshot(
      import.meta.filename,
      name,
      messageOf(() => loadWithSecondFile(second)),
    );
  });
}

test('every problem of every file is listed, not only the first', () => {
  // Guards against a check that stops at the first problem, so that operators find one per run.
  const second = '[service settlement]\nslots = many\nspeed = 3\n[route settle]\npath = nowhere';
  const files = [
    { name: '20-second.ini', text: second },
    { name: '10-base.ini', text: `stray = 1\n${baseText}[oops]\n` },
  ];
  matchSnapshot(
    import.meta.filename,
    'all problems',
    messageOf(() => parseFolderFiles('conf', files)),
  );
});

test('an empty folder and an unreadable one are rejected', async () => {
  // Guards against a wrong path that would remove every service of the fleet.
  const folder = await mkdtemp(join(tmpdir(), 'sequoiafield-'));
  try {
    await writeFile(join(folder, 'notes.txt'), baseText);
    await assert.rejects(loadFolder(folder), /no section; expected a folder with at least one/);
    await assert.rejects(loadFolder(join(folder, 'absent')), /expected a readable folder/);
    await writeFile(join(folder, '10.ini'), baseText);
    assert.equal((await loadFolder(folder)).configuration.services.size, 1);
  } finally {
    await rm(folder, { recursive: true });
  }
});

test('later file names override keys, regardless of the order of reading', () => {
  // Guards against a merge that depends on the order of the directory listing.
  const second = '[service settlement]\nslots = 12\npriority = "low"';
  const third = '[service settlement]\nslots = 14\n[data-centre ath-1]\nstate = out';
  const files = [
    { name: '30-third.ini', text: third },
    { name: '10-base.ini', text: baseText.replaceAll('\n', '\r\n') },
    { name: '20-second.ini', text: second },
  ];
  const folder = parseFolderFiles('conf', files);
  const { mesh, services } = folder.configuration;
  matchSnapshot(import.meta.filename, 'merged', { mesh, services: [...services] });
  const before = parseFolderFiles('conf', [{ name: '10-base.ini', text: baseText }]).configuration;
  const differences = diffConfigurations(before, folder.configuration, folder);
  matchSnapshot(import.meta.filename, 'diff', differences.map(formatDifference).join('\n'));
});

test('diff shows new and removed sections with the origin of new values', () => {
  // Guards against removals that `diff` does not show to an operator before `apply`.
  const changedText = baseText.replaceAll('settle]', 'pay]').replace(/\[objective[^]*$/, '');
  const folder = parseFolderFiles('conf', [{ name: '10-base.ini', text: changedText }]);
  const before = loadWithSecondFile('').configuration;
  const lines = diffConfigurations(before, folder.configuration, folder).map(formatDifference);
  matchSnapshot(import.meta.filename, 'new and removed sections', lines.join('\n'));
});

test('moves may follow each other, also after one that was rolled back', () => {
  // Guards against checks that reject the usual sequence of moves.
  const after = moveText('settlement-v3', 'v2', 'v3', '10:10:00', '10:20:00');
  const afterRollback = moveText('settlement-v3', 'v1', 'v3', '10:10:00', '10:20:00');
  const done = `[service settlement]\nstable_version = v3\n${after}`;
  assert.deepEqual(
    [after, afterRollback, done].map((second) => messageOf(() => loadWithSecondFile(second))),
    ['accepted', 'accepted', 'accepted'],
  );
});
