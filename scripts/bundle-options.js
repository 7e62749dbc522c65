// Options of the bundles: one CommonJS file each, for Node.js 20.

// The native add-ons are optional, and the bundle is pure JavaScript without them. They are
// replaced by a module that throws, because external modules would make the single executable warn
// that it cannot load files.
const omitNativeAddOns = {
  name: 'omit-native-add-ons',
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
  plugins: [omitNativeAddOns],
  define: { 'import.meta.url': 'importMetaUrl' },
  banner: {
    js: "const importMetaUrl = require('node:url').pathToFileURL(process.execPath).href;",
  },
};
