// Runs the workspace's tests with node:test. Arguments are filters on the path of a test file below
// the root, such as a package name.
import { spawnSync } from 'node:child_process';
import { readdirSync } from 'node:fs';
import { join, relative } from 'node:path';

const root = new URL('..', import.meta.url).pathname;

const listTestFiles = (folder) =>
  readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    if (entry.name === 'node_modules' || entry.name === 'dist') return [];
    const path = join(folder, entry.name);
    if (entry.isDirectory()) return listTestFiles(path);
    return entry.name.endsWith('.test.ts') ? [path] : [];
  });

const filters = process.argv.slice(2);
const files = ['packages', 'platform']
  .flatMap((folder) => listTestFiles(join(root, folder)))
  .filter(
    (file) =>
      filters.length === 0 || filters.some((filter) => relative(root, file).includes(filter)),
  )
  .sort();
if (files.length === 0) {
  console.error(`No test file matches ${filters.join(', ')}`);
  process.exit(2);
}
const concurrency = process.env.TEST_CONCURRENCY ?? '4';
const result = spawnSync(
  process.execPath,
  ['--import', 'tsx', '--test', `--test-concurrency=${concurrency}`, ...files],
  { stdio: 'inherit', cwd: root },
);
process.exit(result.status ?? 1);
