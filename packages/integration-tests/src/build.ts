import { spawnSync } from 'node:child_process';
import { join } from 'node:path';

const root = join(import.meta.dirname, '..', '..', '..');

/**
 * Bundles the command and the stand-ins, so that the processes run what is checked out.
 *
 * @example
 * const distFolder = buildBundles();
 */
export const buildBundles = (): string => {
  const result = spawnSync(process.execPath, [join(root, 'scripts', 'build.js')], {
    stdio: 'inherit',
  });
  if (result.status !== 0) throw new Error('The bundles could not be built');
  return join(root, 'dist');
};
