// Bundles the node for the users' platform into target/, as deploy/system.toml runs it.
import { build } from 'esbuild';
import { bundleOptions } from './bundle-options.js';

const root = new URL('..', import.meta.url).pathname;

await build({
  ...bundleOptions,
  entryPoints: { 'sequoiafield-node': `${root}platform/src/main.ts` },
  outdir: `${root}target`,
  outExtension: { '.js': '.cjs' },
  // Fewer bytes of text to hold; names of functions stay out of the logs.
  minify: true,
});
