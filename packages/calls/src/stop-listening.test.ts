import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { blockLoop } from './test-support/block-loop.js';
import { listen, CallNodeFixture } from './test-support/call-node-fixture.js';

const connectionsCount = 5;
/** Time after the start of the client at which it connects, while the loop of the node is blocked. */
const connectDelayMs = 150;
const blockedMs = 500;

/** Client that opens connections, sends a request on each and prints what it received. */
const clientProgram = `
  const [port, count, delayMs] = process.argv.slice(1).map(Number);
  process.stdout.write('ready\\n');
  setTimeout(() => {
    for (let index = 0; index < count; index++) {
      const socket = require('node:net').connect(port, '127.0.0.1');
      let text = '';
      socket.write('GET /ok HTTP/1.1\\r\\nhost: h\\r\\nx-sequoiafield-request-id: r' + index + '\\r\\nconnection: close\\r\\n\\r\\n');
      socket.on('data', (chunk) => { text += chunk; });
      socket.on('error', (error) => process.stdout.write(error.code + '\\n'));
      socket.on('end', () => process.stdout.write(text.slice(9, 12) + '\\n'));
    }
  }, delayMs);
  setTimeout(() => process.exit(0), 2500);
`;

test('connections that wait to be accepted when a node stops listening are served', async () => {
  // Guards against a close of the listener that resets connections which the system has accepted.
  const [, origin] = await listen((_request, response) => response.end('done'));
  const node = await new CallNodeFixture('a', { origin }).start();
  node.setMembers([node.row]);
  const client = spawn(process.execPath, [
    ...['-e', clientProgram, String(node.calls.callPort)],
    ...[String(connectionsCount), String(connectDelayMs)],
  ]);
  let received = '';
  client.stdout.on('data', (chunk) => {
    received += String(chunk);
  });
  await once(client.stdout, 'data');
  await delay(20);
  blockLoop(blockedMs);
  node.calls.stopListening();
  await once(client, 'exit');
  const outcomes = received.trim().split('\n').slice(1);
  assert.deepEqual(outcomes, new Array(connectionsCount).fill('200'));
});
