import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const repositoryRoot = fileURLToPath(new URL('../../../../', import.meta.url));
const processNames = ['backend-process', 'node-process', 'load-process'];

/**
 * Bundles the process scripts as the released command is bundled, and returns the folder of the
 * bundles. Run from source with a loader, each process would have a second thread and source maps,
 * which a deployed node does not have.
 *
 * @example
 * const folder = await bundleProcesses();
 */
export const bundleProcesses = async (): Promise<string> => {
  const outdir = join(repositoryRoot, 'dist', 'bench-call');
  await build({
    entryPoints: processNames.map((name) =>
      fileURLToPath(new URL(`./${name}.ts`, import.meta.url)),
    ),
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
