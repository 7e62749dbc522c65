import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { listen, CallNodeFixture } from './test-support/call-node-fixture.js';

/** A client that connects, says so, sends one request after 100 ms, and closes or waits. */
const clientProgram = `
  const [port, stays] = process.argv.slice(1);
  const socket = require('node:net').connect(Number(port), '127.0.0.1', () => {
    process.stdout.write('connected');
    setTimeout(() => {
      socket.write('GET /ok HTTP/1.1\\r\\nhost: h\\r\\nx-sequoiafield-request-id: r1\\r\\n\\r\\n');
      if (stays === 'no') setTimeout(() => socket.destroy(), 50);
    }, 100);
  });
  let text = '';
  socket.on('data', (chunk) => { text += chunk; });
  setTimeout(() => { process.stdout.write(' ' + text.slice(0, 15)); process.exit(0); }, 2000);
`;

const blockLoop = (ms: number): void => {
  const untilMs = performance.now() + ms;
  while (performance.now() < untilMs);
};

/** Blocks the event loop of a node while a client sends its request; gives the runs and what the client got. */
const serveWhileStarved = async (stays: boolean): Promise<{ runs: number; got: string }> => {
  let runs = 0;
  const [, origin] = await listen((_request, response) => {
    runs += 1;
    response.end('done');
  });
  const node = await new CallNodeFixture('a', { origin }).start();
  node.setMembers([node.row]);
  const port = String(node.calls.callPort);
  const client = spawn(process.execPath, ['-e', clientProgram, port, stays ? 'yes' : 'no']);
  let got = '';
  client.stdout.on('data', (chunk) => {
    got += String(chunk);
  });
  await once(client.stdout, 'data');
  await delay(60);
  blockLoop(700);
  await once(client, 'exit');
  return { runs, got };
};

test('a request whose client left while the event loop was blocked does not run', async () => {
  // Guards against runs whose answer no client reads, after a start or a pause.
  assert.equal((await serveWhileStarved(false)).runs, 0);
});

test('a request whose client still waits is served after the event loop was blocked', async () => {
  // Guards against a node that refuses clients which still wait.
  const { runs, got } = await serveWhileStarved(true);
  assert.equal(runs, 1);
  assert.match(got, /HTTP\/1\.1 200/);
});
