// Bundles the node for the users' platform into target/, as deploy/system.toml runs it.
import { build } from 'esbuild';
import { bundleOptions } from './bundle-options.js';

const root = new URL('..', import.meta.url).pathname;

// Parts of libraries that the node never calls. What a process loads at its start counts towards its
// peak memory for as long as it runs, so that they are left out of the bundle.
const unusedParts = [
  // Schemas of fastify routes: the node's routes have none.
  /^@fastify\/(ajv|fast-json-stringify)-compiler$/,
  // Browser interfaces, mocks, proxies and caches of undici: the node uses its clients only.
  /\/undici\/lib\/(web|mock|cache|interceptor)\//,
  /\/undici\/lib\/dispatcher\/(proxy-agent|socks5|env-http|h2c|retry-agent|client-h2)/,
  /\/undici\/lib\/llhttp\/llhttp_simd-wasm/,
];

const leaveOutUnusedParts = {
  name: 'leave-out-unused-parts',
  setup(bundler) {
    bundler.onResolve({ filter: /./ }, async ({ path, resolveDir, kind, pluginData }) => {
      if (pluginData === 'resolved' || kind === 'entry-point') return undefined;
      const found = await bundler.resolve(path, { resolveDir, kind, pluginData: 'resolved' });
      const isUnused = unusedParts.some((part) => part.test(path) || part.test(found.path));
      return isUnused ? { path, namespace: 'unused' } : undefined;
    });
    bundler.onLoad({ filter: /.*/, namespace: 'unused' }, () => ({
      // Some of them are called, constructed or taken apart at the start.
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
  plugins: [...bundleOptions.plugins, leaveOutUnusedParts],
  // Fewer bytes of text to hold; names of functions stay out of the logs.
  minify: true,
});
