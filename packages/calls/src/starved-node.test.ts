import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { blockLoop } from './test-support/block-loop.js';
import { listen, CallNodeFixture } from './test-support/call-node-fixture.js';

/** Client that connects, prints "connected", sends a request after 100 ms, disconnects or waits. */
const clientProgram = `
  const [port, waits] = process.argv.slice(1);
  const socket = require('node:net').connect(Number(port), '127.0.0.1', () => {
    process.stdout.write('connected');
    setTimeout(() => {
      socket.write('GET /ok HTTP/1.1\\r\\nhost: h\\r\\nx-sequoiafield-request-id: r1\\r\\n\\r\\n');
      if (waits === 'no') setTimeout(() => socket.destroy(), 50);
    }, 100);
  });
  let text = '';
  socket.on('data', (chunk) => { text += chunk; });
  setTimeout(() => { process.stdout.write(' ' + text.slice(0, 15)); process.exit(0); }, 2000);
`;

/**
 * Blocks the event loop of a node while a client sends its request; returns how often the request
 * ran and what the client received.
 */
const serveWhileLoopIsBlocked = async (
  clientWaits: boolean,
): Promise<{ runs: number; received: string }> => {
  let runs = 0;
  const [, origin] = await listen((_request, response) => {
    runs += 1;
    response.end('done');
  });
  const node = await new CallNodeFixture('a', { origin }).start();
  node.setMembers([node.row]);
  const port = String(node.calls.callPort);
  const client = spawn(process.execPath, ['-e', clientProgram, port, clientWaits ? 'yes' : 'no']);
  let received = '';
  client.stdout.on('data', (chunk) => {
    received += String(chunk);
  });
  await once(client.stdout, 'data');
  await delay(60);
  blockLoop(700);
  await once(client, 'exit');
  return { runs, received };
};

test('a request whose client left while the event loop was blocked does not run', async () => {
  // Guards against requests that run although no client reads the answer, after a start or a pause.
  assert.equal((await serveWhileLoopIsBlocked(false)).runs, 0);
});

test('a request whose client still waits is served after the event loop was blocked', async () => {
  // Guards against a node that drops requests of clients that still wait.
  const { runs, received } = await serveWhileLoopIsBlocked(true);
  assert.equal(runs, 1);
  assert.match(received, /HTTP\/1\.1 200/);
});
