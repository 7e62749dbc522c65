// Bundles the command and the stand-ins as one CommonJS file each, into dist/ or the folder
// given as argument.
import { build } from 'esbuild';
import { existsSync } from 'node:fs';
import { bundleOptions } from './bundle-options.js';

const root = new URL('..', import.meta.url).pathname;
const entries = {
  sequoiafield: `${root}packages/cli/src/main.ts`,
  'stand-ins': `${root}packages/stand-ins/src/main.ts`,
};

await build({
  ...bundleOptions,
  entryPoints: Object.fromEntries(Object.entries(entries).filter(([, file]) => existsSync(file))),
  outdir: process.argv[2] ?? `${root}dist`,
  outExtension: { '.js': '.cjs' },
});
