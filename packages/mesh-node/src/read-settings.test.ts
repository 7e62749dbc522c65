import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { NodeError } from '@sequoiafield/errors';
import { CapacityMode } from '@sequoiafield/types';
import { readMeshNodeSettings } from './read-settings.js';

const templateFile = new URL('../../../deploy/settings.ini', import.meta.url);

/** Renders the template as the platform does; a field that a deployment lacks becomes an empty text. */
const render = (fields: Readonly<Record<string, string>>): string =>
  readFileSync(templateFile, 'utf8').replace(/\{\{(.+?)\}\}/g, (_, name: string) => {
    if (name in fields) return fields[name]!;
    if (/^(cloud|bounds\.(report_window_s|usage_late_s|lease_s))/.test(name)) return '';
    return /address|listen|app_addr/.test(name) ? '10.1.0.7:8100' : '9';
  });

const usageFields = {
  'cloud.address': '10.1.0.9:8640',
  'bounds.report_window_s': '5',
  'bounds.usage_late_s': '10',
  'bounds.lease_s': '3',
};

test('usage is reported only if the deployment has every value for it', () => {
  // Guards against a node that does not start where a deployment has no usage reports, and against store
  // calls there.
  assert.deepEqual(readMeshNodeSettings(render(usageFields)).usage, {
    endpoint: { address: '10.1.0.9', port: 8640 },
    ...{ windowMs: 5000, lateMs: 10_000, leaseMs: 3000 },
  });
  for (const field of Object.keys(usageFields)) {
    const settings = readMeshNodeSettings(render({ ...usageFields, [field]: '' }));
    assert.equal(settings.usage, undefined, field);
  }
  assert.equal(readMeshNodeSettings(render({}).replace(/\[usage\][^]*/, '')).usage, undefined);
  assert.throws(
    () => readMeshNodeSettings(render({ ...usageFields, 'bounds.lease_s': '0' })),
    NodeError,
  );
});

test('the memory of a node is optional', () => {
  // Guards against a node that does not start where a deployment names no memory.
  const memoryOf = (memoryMb: string): number | undefined =>
    readMeshNodeSettings(render({ 'limits.memory_mb': memoryMb })).memoryBytes;
  assert.equal(memoryOf('250'), 250 * 1024 * 1024);
  assert.equal(memoryOf(''), undefined);
  const withoutSection = render({}).replace(/\[limits\][^[]*/, '');
  assert.equal(readMeshNodeSettings(withoutSection).memoryBytes, undefined);
  assert.throws(() => memoryOf('much'), /memory_mb of \[limits\] must be/);
});

test('the capacity mode is optional, and a misspelt one ends the start', () => {
  // Guards against deployments without the section that no longer start, and against a switch that
  // is silently ignored.
  const modeOf = (mode: string): CapacityMode | undefined =>
    readMeshNodeSettings(`${render({})}\n[capacity]\nmode = ${mode}`).capacityMode;
  assert.equal(readMeshNodeSettings(render({})).capacityMode, undefined);
  assert.equal(modeOf(''), undefined);
  assert.equal(modeOf('auto'), undefined);
  assert.equal(modeOf('declared'), CapacityMode.Declared);
  assert.equal(modeOf('learned'), CapacityMode.Learned);
  assert.throws(() => modeOf('off'), /mode of \[capacity\] must be one of auto, declared, learned/);
});
