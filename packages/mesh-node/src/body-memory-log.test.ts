import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createBodyMemory } from '@sequoiafield/calls';
import type { LogEvent } from '@sequoiafield/logger';
import { BodyMemoryLog } from './body-memory-log.js';

test('a lack of memory is logged with its refusals, and not for each of them', () => {
  // Guards against a lack of memory that operators do not see, and against a line for each request.
  const memory = createBodyMemory(64 * 1024 * 1024);
  const lines: unknown[] = [];
  const log = new BodyMemoryLog(memory, {
    log: ({ name }: LogEvent, fields?: object) => lines.push([name, fields]),
  });
  memory.node.recordRefusal();
  memory.server.recordRefusal();
  log.run({ nowMs: 10_000 });
  memory.node.recordRefusal();
  log.run({ nowMs: 11_000 });
  assert.equal(lines.length, 1);
  log.run({ nowMs: 16_000 });
  log.run({ nowMs: 30_000 });
  const bytes = {
    nodeBytes: 0,
    nodeMaxBytes: 8_388_608,
    serverBytes: 0,
    serverMaxBytes: 4_194_304,
  };
  assert.deepEqual(lines, [
    ['bodyMemoryFull', { refused: 2, ...bytes }],
    ['bodyMemoryFull', { refused: 1, ...bytes }],
  ]);
});
