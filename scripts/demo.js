// Runs the demonstration with real processes; its dependencies are installed by then.
import { spawnSync } from 'node:child_process';

const root = new URL('..', import.meta.url).pathname;
const result = spawnSync(
  process.execPath,
  ['--import', 'tsx', 'packages/integration-tests/src/demo/main.ts'],
  { stdio: 'inherit', cwd: root },
);
process.exit(result.status ?? 1);
