import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { CapacityMode } from '@sequoiafield/types';
import { readMeshNodeSettings } from './read-settings.js';

/** The template of the settings, each endpoint and number filled in, with a section for the capacity. */
const render = (capacity: string): string => {
  const template = readFileSync(new URL('../../../deploy/settings.ini', import.meta.url), 'utf8');
  const filled = template
    .replaceAll(/endpoint = .*/g, 'endpoint = 10.0.0.1:80')
    .replaceAll(/\{\{[^}]*\}\}/g, '3');
  return `${filled}\n${capacity}`;
};

test('the capacity mode is optional, and a misspelt one ends the start', () => {
  // Guards against deployments without the section that no longer start, and against a switch that
  // is silently ignored.
  const modeOf = (mode: string): CapacityMode | undefined =>
    readMeshNodeSettings(render(`[capacity]\nmode = ${mode}`)).capacityMode;
  assert.equal(readMeshNodeSettings(render('')).capacityMode, undefined);
  assert.equal(modeOf(''), undefined);
  assert.equal(modeOf('auto'), undefined);
  assert.equal(modeOf('declared'), CapacityMode.Declared);
  assert.equal(modeOf('learned'), CapacityMode.Learned);
  assert.throws(() => modeOf('off'), /mode of \[capacity\] must be one of auto, declared, learned/);
});
