import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Writable } from 'node:stream';
import { JsonLogger, logEvents } from './index.js';

/** Output whose reader reads nothing until `resumeReading` is called. */
class StalledReader {
  readonly lines: Record<string, unknown>[] = [];

  #pendingReads: (() => void)[] = [];

  #isStalled = true;

  readonly output = new Writable({
    write: (chunk: Buffer, _encoding, done) => {
      const readLine = (): void => {
        this.lines.push(JSON.parse(String(chunk)) as Record<string, unknown>);
        done();
      };
      if (this.#isStalled) this.#pendingReads.push(readLine);
      else readLine();
    },
  });

  resumeReading(): void {
    this.#isStalled = false;
    this.#pendingReads.splice(0).forEach((readLine) => readLine());
  }
}

test('lines are dropped and counted, and memory is bounded, while the reader stalls', async () => {
  // Guards against unbounded buffers: a log collector that stops reading must not fill the memory of
  // every node.
  const reader = new StalledReader();
  const { output } = reader;
  const logger = new JsonLogger({ node: 'a' }, { output });
  const lineCount = 5000;
  for (let line = 0; line < lineCount; line++) {
    logger.log(logEvents.callRefused, { detail: 'x'.repeat(200) });
  }
  assert.ok(output.writableLength < 512 * 1024, `${output.writableLength} bytes are buffered`);
  reader.resumeReading();
  await new Promise(setImmediate);
  logger.log(logEvents.nodeStopped);
  await new Promise(setImmediate);
  const [dropped] = reader.lines.filter(({ event }) => event === logEvents.logLinesDropped.number);
  const written = reader.lines.filter(({ event }) => event === logEvents.callRefused.number);
  assert.equal(Number(dropped?.dropped) + written.length, lineCount);
  assert.equal(reader.lines.at(-1)?.event, logEvents.nodeStopped.number);
});

test('a process continues after a write to its log failed', async () => {
  // Guards against a node that ends because its log collector ended and a write failed with EPIPE.
  const output = new Writable({
    write: (_chunk, _encoding, done) => done(new Error('write EPIPE')),
  });
  const logger = new JsonLogger({ node: 'a' }, { output });
  logger.log(logEvents.nodeStarted);
  await new Promise(setImmediate);
  logger.log(logEvents.nodeStopped);
  await new Promise(setImmediate);
  assert.equal(output.destroyed, true);
  assert.equal(logger.linesDropped, 1);
});
