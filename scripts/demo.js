// Runs the demonstration with real processes. The demo script in package.json installs the
// dependencies first.
import { spawnSync } from 'node:child_process';

const root = new URL('..', import.meta.url).pathname;
const result = spawnSync(
  process.execPath,
  ['--import', 'tsx', 'packages/integration-tests/src/demo/main.ts'],
  { stdio: 'inherit', cwd: root },
);
process.exit(result.status ?? 1);
