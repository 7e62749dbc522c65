// Options of the bundles: one CommonJS file each, for Node.js 20.

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

/** Options that every bundle shares. */
export const bundleOptions = {
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
};
