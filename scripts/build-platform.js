// Bundles the node for the users' platform into target/, from where deploy/system.toml runs it.
import { build } from 'esbuild';
import { bundleOptions } from './bundle-options.js';

const root = new URL('..', import.meta.url).pathname;

// Library modules that the node never calls. They are left out of the bundle, because a module that
// is loaded at the start counts towards the peak memory of the process for as long as it runs.
const unusedModules = [
  // Schemas of fastify routes: the node's routes have none.
  /^@fastify\/(ajv|fast-json-stringify)-compiler$/,
  // Browser interfaces, mocks, proxies and caches of undici: the node uses its clients only.
  /\/undici\/lib\/(web|mock|cache|interceptor)\//,
  /\/undici\/lib\/dispatcher\/(proxy-agent|socks5|env-http|h2c|retry-agent|client-h2)/,
  /\/undici\/lib\/llhttp\/llhttp_simd-wasm/,
];

const omitUnusedModules = {
  name: 'omit-unused-modules',
  setup(bundler) {
    bundler.onResolve({ filter: /./ }, async ({ path, resolveDir, kind, pluginData }) => {
      if (pluginData === 'resolved' || kind === 'entry-point') return undefined;
      const found = await bundler.resolve(path, { resolveDir, kind, pluginData: 'resolved' });
      const isUnused = unusedModules.some(
        (pattern) => pattern.test(path) || pattern.test(found.path),
      );
      return isUnused ? { path, namespace: 'unused' } : undefined;
    });
    bundler.onLoad({ filter: /.*/, namespace: 'unused' }, () => ({
      // Some of them are called, constructed or destructured at the start.
      contents: `
        const unused = new Proxy(function () {}, {
          get: (target, name) => (name in target ? target[name] : unused),
          apply: () => unused,
          construct: () => unused,
        });
        module.exports = unused;`,
    }));
  },
};

await build({
  ...bundleOptions,
  entryPoints: { 'sequoiafield-node': `${root}platform/src/main.ts` },
  outdir: `${root}target`,
  outExtension: { '.js': '.cjs' },
  plugins: [...bundleOptions.plugins, omitUnusedModules],
  // Reduces the size of the code in memory; logs then hold no function names.
  minify: true,
});
