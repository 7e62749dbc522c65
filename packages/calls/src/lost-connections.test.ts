import assert from 'node:assert/strict';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { after, test } from 'node:test';
import { BodyChannel } from '@sequoiafield/transport';
import { monotonicNowMs } from '@sequoiafield/tables';
import { sampleOpen, waitUntil } from '@sequoiafield/test-kit';
import { UndiciBackendClient } from './index.js';

const requestMaxMs = 2000;
const keptAnswer = 'HTTP/1.1 200 OK\r\nkeep-alive: timeout=10\r\ncontent-length: 2\r\n\r\nok';
const lastAnswer = 'HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok';

/** Starts a server that handles each request with `answer`, and a client that counts lost connections. */
const start = async (answer: (socket: Socket) => void) => {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => answer(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  let lost = 0;
  const client = new UndiciBackendClient({
    origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    connectionsMax: 4,
    watchesAllConnections: true,
    onConnectionLost: () => {
      lost += 1;
    },
  });
  after(async () => {
    await client.close();
    server.close();
  });
  return {
    sockets,
    lostCount: () => lost,
    send: () => {
      const open = sampleOpen({ headers: [['host', 'h']], isIdempotent: false });
      const openWithDeadline = { ...open, deadlineAtMs: monotonicNowMs() + requestMaxMs };
      const { signal } = new AbortController();
      const body = BodyChannel.of(undefined);
      return client.send(openWithDeadline, requestMaxMs, body, signal, () => undefined);
    },
  };
};

test('a connection that the server ends before its answer, or while it is kept, counts as lost', async () => {
  // Guards against a server whose restart is noticed only by its late heartbeat.
  const cut = await start((socket) => socket.end('HTTP/1.1 200 OK\r\ncontent-le'));
  await cut.send();
  await waitUntil(() => cut.lostCount() === 1);
  const kept = await start((socket) => socket.write(keptAnswer));
  await kept.send();
  kept.sockets.forEach((socket) => socket.destroy());
  await waitUntil(() => kept.lostCount() === 1);
});

test('a connection that ends with its announced last answer does not count as lost', async () => {
  // Guards against a check of the port, and so a new connection, after each such answer.
  const closing = await start((socket) => socket.end(lastAnswer));
  for (let index = 0; index < 5; index++) assert.equal((await closing.send()).kind, 'answer');
  await waitUntil(() => closing.sockets.every((socket) => socket.destroyed));
  assert.equal(closing.sockets.length, 5);
  assert.equal(closing.lostCount(), 0);
});
