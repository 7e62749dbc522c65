import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Writable } from 'node:stream';
import { JsonLogger, logEvents } from './index.js';

/** Output whose reader takes nothing until it is told to. */
class StalledReader {
  readonly lines: Record<string, unknown>[] = [];

  #waiting: (() => void)[] = [];

  #isStalled = true;

  readonly output = new Writable({
    write: (chunk: Buffer, _encoding, done) => {
      const take = (): void => {
        this.lines.push(JSON.parse(String(chunk)) as Record<string, unknown>);
        done();
      };
      if (this.#isStalled) this.#waiting.push(take);
      else take();
    },
  });

  resumeReading(): void {
    this.#isStalled = false;
    this.#waiting.splice(0).forEach((take) => take());
  }
}

test('a reader that stalls costs lines, which are counted, and bounded memory', async () => {
  // Guards against a log collector that stops reading and fills the memory of every node.
  const reader = new StalledReader();
  const { output } = reader;
  const logger = new JsonLogger({ node: 'a' }, { output });
  const lineCount = 5000;
  for (let line = 0; line < lineCount; line++) {
    logger.log(logEvents.callRefused, { detail: 'x'.repeat(200) });
  }
  assert.ok(output.writableLength < 512 * 1024, `${output.writableLength} bytes wait`);
  reader.resumeReading();
  await new Promise(setImmediate);
  logger.log(logEvents.nodeStopped);
  await new Promise(setImmediate);
  const [dropped] = reader.lines.filter(({ event }) => event === logEvents.logLinesDropped.number);
  const written = reader.lines.filter(({ event }) => event === logEvents.callRefused.number);
  assert.equal(Number(dropped?.dropped) + written.length, lineCount);
  assert.equal(reader.lines.at(-1)?.event, logEvents.nodeStopped.number);
});

test('a process goes on when the reader of its log is gone', async () => {
  // Guards against a node that ends because its log collector did.
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
