import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const root = fileURLToPath(new URL('../../../../', import.meta.url));
const scripts = ['backend-process', 'node-process', 'load-process'];

/**
 * Bundles the processes as the command is bundled for use, and returns their folder. Run from source
 * with a loader, each process has a second thread and source maps that a node in use does not have.
 *
 * @example
 * const folder = await bundleProcesses();
 */
export const bundleProcesses = async (): Promise<string> => {
  const outdir = join(root, 'dist', 'bench-call');
  await build({
    entryPoints: scripts.map((name) => fileURLToPath(new URL(`./${name}.ts`, import.meta.url))),
    outdir,
    outExtension: { '.js': '.cjs' },
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    logLevel: 'error',
    external: ['msgpackr-extract', 'bufferutil', 'utf-8-validate'],
  });
  return outdir;
};
