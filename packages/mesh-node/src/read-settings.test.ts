import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { readMeshNodeSettings } from './read-settings.js';

const template = readFileSync(new URL('../../../deploy/settings.ini', import.meta.url), 'utf8');

/** Renders the template as the platform does, with the given text for the memory. */
const render = (memoryMb: string): string =>
  template
    .replace('{{limits.memory_mb}}', memoryMb)
    .replaceAll(/\{\{(listen\.\w+|app_addr|platform\.address)\}\}/g, '10.0.0.1:7000')
    .replaceAll(/\{\{[^}]*\}\}/g, '1');

test('the memory of a node is optional', () => {
  // Guards against a node that does not start where a deployment names no memory.
  assert.equal(readMeshNodeSettings(render('250')).memoryBytes, 250 * 1024 * 1024);
  assert.equal(readMeshNodeSettings(render('')).memoryBytes, undefined);
  const withoutSection = render('').replace(/\[limits\][^[]*/, '');
  assert.equal(readMeshNodeSettings(withoutSection).memoryBytes, undefined);
  assert.throws(() => readMeshNodeSettings(render('much')), /memory_mb of \[limits\] must be/);
});
