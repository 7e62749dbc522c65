// Bundles the command and the stand-ins into dist/, one CommonJS file each.
import { build } from 'esbuild';
import { existsSync } from 'node:fs';

const root = new URL('..', import.meta.url).pathname;
const entries = {
  sequoiafield: `${root}packages/cli/src/main.ts`,
  'stand-ins': `${root}packages/stand-ins/src/main.ts`,
};

await build({
  entryPoints: Object.fromEntries(Object.entries(entries).filter(([, file]) => existsSync(file))),
  outdir: `${root}dist`,
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  logLevel: 'warning',
  // The native add-ons are optional; the bundle stays pure JavaScript.
  external: ['msgpackr-extract', 'bufferutil', 'utf-8-validate'],
  define: { 'import.meta.url': 'importMetaUrl' },
  banner: {
    js: "const importMetaUrl = require('node:url').pathToFileURL(process.execPath).href;",
  },
});
