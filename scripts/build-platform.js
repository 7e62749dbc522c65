// Bundles the node for the users' platform into target/, or the folder given as argument, and keeps
// the compiled code of the bundle beside it. deploy/system.toml runs the result.
import { spawnSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
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
  // Loggers of fastify, and colours, files and HTTP of winston: logs are JSON lines on standard output.
  /^(pino|@so-ric\/colorspace)$/,
  /\/winston\/lib\/winston\/(transports\/(file|http)|tail-file)/,
  // Requests that fastify makes up for tests, addresses of proxies in front, and traces.
  /^(light-my-request|@fastify\/proxy-addr|@opentelemetry\/api)$/,
  // Encrypted connections, HTTP/2 and process clusters: nodes use plain HTTP/1.1 only.
  /^(node:)?(tls|https|http2|cluster|worker_threads)$/,
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

const target = process.argv[2] ?? `${root}target`;
const launcher = `${target}/sequoiafield-node.cjs`;

await build({
  ...bundleOptions,
  entryPoints: {
    'sequoiafield-node': `${root}platform/src/launch.ts`,
    'node-bundle': `${root}platform/src/start-node.ts`,
  },
  outdir: target,
  outExtension: { '.js': '.cjs' },
  plugins: [...bundleOptions.plugins, omitUnusedModules],
  // Reduces the size of the code in memory; logs then hold no function names.
  minify: true,
});

// V8 takes a code cache only with the flags with which it was made.
const deployFile = readFileSync(`${root}deploy/system.toml`, 'utf8');
const flags = /^run = "node (.*) \S+"$/m.exec(deployFile)?.[1]?.split(' ') ?? [];
const written = spawnSync(
  process.execPath,
  [
    ...['--import', 'tsx', `${root}platform/src/build/write-code-cache.ts`],
    ...[launcher, `${target}/node-bundle.cache`, ...flags],
  ],
  { cwd: root, stdio: ['ignore', 'inherit', 'inherit'] },
);
if (written.status !== 0) {
  console.error('The code cache was not written; nodes compile the bundle when they start.');
}
