import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { test } from 'node:test';
import { blockLoop } from './test-support/block-loop.js';
import { CallNodeFixture, listen } from './test-support/call-node-fixture.js';

const clientsCount = 200;
/** Time that one turn of the event loop of the node takes at least. */
const turnMs = 5;
/** Time after the end of its client's connection at which a request may still reach a server. */
const lateAfterMs = 500;

/**
 * Clients that connect at the same time and send a request each. They leave after `leaveAfterMs`, and
 * the program prints the Unix time in ms at which they did; its last line is the number of answers.
 */
const clientsProgram = `
  const [port, count, leaveAfterMs] = process.argv.slice(1).map(Number);
  let answers = 0;
  const sockets = Array.from({ length: count }, (_, index) => {
    const socket = require('node:net').connect(port, '127.0.0.1', () => {
      socket.write('GET /ok HTTP/1.1\\r\\nhost: h\\r\\nx-sequoiafield-request-id: r' + index + '\\r\\n\\r\\n');
    });
    socket.once('data', (chunk) => { if (String(chunk).startsWith('HTTP/1.1 200')) answers += 1; });
    return socket;
  });
  setTimeout(() => {
    sockets.forEach((socket) => socket.destroy());
    console.log(Date.now());
    console.log(answers);
  }, leaveAfterMs);
`;

/**
 * Serves clients with a node whose event loop accepts one connection in each turn of `turnMs`. Returns
 * the Unix times at which requests ran, what the clients printed, and the calls that still run.
 */
const serveInBusyTurns = async (
  leaveAfterMs: number,
): Promise<{ runsAtMs: number[]; leftAtMs: number; answers: number; runningCount: number }> => {
  const runsAtMs: number[] = [];
  const [, origin] = await listen((_request, response) => {
    runsAtMs.push(Date.now());
    response.end('done');
  });
  const node = await new CallNodeFixture('a', { origin }).start();
  node.setMembers([node.row]);
  let isBusy = true;
  const runTurn = (): void => {
    blockLoop(turnMs);
    if (isBusy) setImmediate(runTurn);
  };
  runTurn();
  const clients = spawn(process.execPath, [
    '-e',
    clientsProgram,
    ...[node.calls.callPort, clientsCount, leaveAfterMs].map(String),
  ]);
  let printed = '';
  clients.stdout.on('data', (chunk) => {
    printed += String(chunk);
  });
  await once(clients, 'exit');
  for (let turns = 0; turns < 2 * clientsCount; turns++) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
  isBusy = false;
  const [leftAtMs = 0, answers = 0] = printed.trim().split('\n').map(Number);
  return { runsAtMs, leftAtMs, answers, runningCount: node.calls.runningCount };
};

test('a request whose client left while its connection waited to be accepted does not run', async () => {
  // Guards against work for callers that left, by a node whose accept queue is longer than its turns.
  const { runsAtMs, leftAtMs, runningCount } = await serveInBusyTurns(150);
  const lateRuns = runsAtMs.filter((atMs) => atMs > leftAtMs + lateAfterMs);
  assert.equal(lateRuns.length, 0, `${lateRuns.length} of ${runsAtMs.length} runs are late`);
  assert.equal(runningCount, 0, 'a planned stop would wait for requests that were dropped');
});

test('a request whose client waits is served after its connection waited to be accepted', async () => {
  // Guards against a node that drops requests of clients that still wait.
  const { answers } = await serveInBusyTurns(8000);
  assert.equal(answers, clientsCount);
});
