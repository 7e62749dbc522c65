import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const root = join(import.meta.dirname, '..', '..', '..');

/**
 * Bundles the command and the stand-ins from the working tree; returns the folder of the bundles.
 *
 * @example
 * const distFolder = buildBundles();
 */
export const buildBundles = (): string => {
  // Test files run at the same time; in a shared folder, one could start a partly written bundle.
  const distFolder = mkdtempSync(join(tmpdir(), 'sequoiafield-dist-'));
  process.once('exit', () => rmSync(distFolder, { recursive: true, force: true }));
  const result = spawnSync(process.execPath, [join(root, 'scripts', 'build.js'), distFolder], {
    stdio: 'inherit',
  });
  if (result.status !== 0)
    throw new Error(
      `Building the bundles failed: scripts/build.js exited with status ${result.status}`,
    );
  return distFolder;
};
