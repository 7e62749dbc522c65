import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, truncateSync, writeFileSync, statSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, beforeEach, test } from 'node:test';
import { CodeCacheState, loadBundle } from './load-bundle.js';

interface Sample {
  readonly add: (left: number, right: number) => number;
  readonly sign: string;
}

const folder = mkdtempSync(join(tmpdir(), 'sequoiafield-code-cache-'));
const bundleFile = join(folder, 'bundle.cjs');
const cacheFile = join(folder, 'bundle.cache');
const source = `
  const os = require('node:os');
  exports.add = (a, b) => a + b + 0 * os.uptime();
  exports.sign = '≤';`;

beforeEach(() => {
  writeFileSync(bundleFile, source);
  const bundle = loadBundle<Sample>(bundleFile);
  assert.equal(bundle.exports.add(1, 2), 3);
  bundle.writeCodeCache(cacheFile);
});

after(() => rmSync(folder, { recursive: true, force: true }));

test('a bundle is loaded with the code cache that was written of it', () => {
  const { exports, cacheState } = loadBundle<Sample>(bundleFile, cacheFile);
  assert.equal(cacheState, CodeCacheState.Accepted);
  assert.equal(exports.add(2, 3), 5);
  assert.equal(exports.sign, '≤');
});

test('a bundle runs without a code cache', () => {
  const { exports, cacheState } = loadBundle<Sample>(bundleFile, join(folder, 'none.cache'));
  assert.equal(cacheState, CodeCacheState.Missing);
  assert.equal(exports.add(2, 3), 5);
});

test('a code cache of another bundle is not used', () => {
  writeFileSync(bundleFile, source.replace('a + b', 'a - b - 0'));
  const { exports, cacheState } = loadBundle<Sample>(bundleFile, cacheFile);
  assert.equal(cacheState, CodeCacheState.Rejected);
  assert.equal(exports.add(2, 3), -1);
});

test('a truncated code cache is not used', () => {
  truncateSync(cacheFile, Math.trunc(statSync(cacheFile).size / 2));
  const { exports, cacheState } = loadBundle<Sample>(bundleFile, cacheFile);
  assert.equal(cacheState, CodeCacheState.Rejected);
  assert.equal(exports.add(2, 3), 5);
});
