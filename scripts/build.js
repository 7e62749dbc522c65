// Bundles the command and the stand-ins into dist/ or the folder named, one CommonJS file each.
import { build } from 'esbuild';
import { existsSync } from 'node:fs';

const root = new URL('..', import.meta.url).pathname;
const entries = {
  sequoiafield: `${root}packages/cli/src/main.ts`,
  'stand-ins': `${root}packages/stand-ins/src/main.ts`,
};

// The native add-ons are optional and the bundle stays pure JavaScript. A module that throws, in place
// of an external one, keeps the single executable from warning that it cannot load files.
const leaveOutNativeAddOns = {
  name: 'leave-out-native-add-ons',
  setup(bundler) {
    const namespace = 'left-out';
    bundler.onResolve({ filter: /^(msgpackr-extract|bufferutil|utf-8-validate)$/ }, ({ path }) => ({
      path,
      namespace,
    }));
    bundler.onLoad({ filter: /.*/, namespace }, ({ path }) => ({
      contents: `throw new Error('${path} is left out of the bundle');`,
    }));
  },
};

await build({
  entryPoints: Object.fromEntries(Object.entries(entries).filter(([, file]) => existsSync(file))),
  outdir: process.argv[2] ?? `${root}dist`,
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  logLevel: 'warning',
  plugins: [leaveOutNativeAddOns],
  define: { 'import.meta.url': 'importMetaUrl' },
  banner: {
    js: "const importMetaUrl = require('node:url').pathToFileURL(process.execPath).href;",
  },
});
