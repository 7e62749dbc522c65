// Bundles the command and the stand-ins into dist/ or the folder named, one CommonJS file each.
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
