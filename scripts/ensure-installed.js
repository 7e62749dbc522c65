// Installs the declared packages if they are missing, so that one command is enough on a fresh
// clone.
import { spawnSync } from 'node:child_process';
import { existsSync } from 'node:fs';
import { join } from 'node:path';

const root = new URL('..', import.meta.url).pathname;
const isInstalled = ['typescript', 'tsx', 'esbuild', 'fastify', '@sequoiafield/types'].every(
  (name) => existsSync(join(root, 'node_modules', name)),
);
if (!isInstalled) {
  const result = spawnSync('npm', ['ci'], { stdio: 'inherit', cwd: root });
  process.exit(result.status ?? 1);
}
