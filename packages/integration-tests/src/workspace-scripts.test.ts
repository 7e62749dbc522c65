// Guards against a fresh clone whose `npm test` fails because nothing is installed: `.npmrc` sets
// `ignore-scripts`, with which npm skips every `pre` and `post` script without a message.
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';

const root = new URL('../../../', import.meta.url);
const { scripts } = JSON.parse(readFileSync(new URL('package.json', root), 'utf8')) as {
  scripts: Record<string, string>;
};

test('no command of the workspace relies on a pre or post script', () => {
  const skipped = Object.keys(scripts).filter((name) => {
    const main = name.replace(/^(pre|post)/, '');
    return main !== name && main in scripts;
  });
  assert.deepEqual(skipped, [], 'npm skips these scripts because ignore-scripts is set');
});

test('commands for a fresh clone install the dependencies first', () => {
  const unprepared = ['test', 'demo', 'bench'].filter(
    (name) => !scripts[name]?.startsWith('node scripts/ensure-installed.js && '),
  );
  assert.deepEqual(unprepared, [], 'these commands fail on a fresh clone');
});
