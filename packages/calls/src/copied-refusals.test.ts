import assert from 'node:assert/strict';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { after, test } from 'node:test';
import { CallNodeFixture, listen } from './test-support/call-node-fixture.js';

const refusal =
  'HTTP/1.1 503 Service Unavailable\r\nx-backend-refused: not-run\r\n' +
  'keep-alive: timeout=30\r\ncontent-length: 0\r\n\r\n';
const callsCount = 3;

/**
 * Starts a server that refuses the first request of each connection. It runs the others, and answers
 * them with a copy of that refusal.
 */
const startCopyingServer = async (onRun: (requestId: string) => void): Promise<string> => {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    let requestsCount = 0;
    socket.on('data', (chunk) => {
      const requestId = /x-sequoiafield-request-id: (\S+)/i.exec(String(chunk))?.[1];
      if (requestId === undefined) return;
      requestsCount += 1;
      if (requestsCount > 1) onRun(requestId);
      socket.write(refusal);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  after(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
};

/** Sends calls to a node whose own server copies refusals; returns what ran and the statuses. */
const sendCalls = async (method: string): Promise<{ runs: string[]; statuses: number[] }> => {
  const runs: string[] = [];
  const recordRun = (requestId: string): void => {
    runs.push(requestId);
  };
  const [, origin] = await listen((request, response) => {
    recordRun(String(request.headers['x-sequoiafield-request-id']));
    response.end('done');
  });
  const [faulty, sound] = await Promise.all([
    new CallNodeFixture('a', { origin: await startCopyingServer(recordRun) }).start(),
    new CallNodeFixture('b', { origin }).start(),
  ]);
  faulty.setMembers([faulty.row, sound.row]);
  const statuses: number[] = [];
  for (let call = 1; call <= callsCount; call += 1) {
    const headers = {
      'x-sequoiafield-request-id': `r${call}`,
      'x-sequoiafield-deadline-ms': '2000',
    };
    const response = await fetch(`${faulty.url}/ok`, { method, headers });
    await response.arrayBuffer();
    statuses.push(response.status);
  }
  return { runs, statuses };
};

for (const method of ['POST', 'GET']) {
  test(`a copy of an earlier refusal is not taken for the answer to a ${method}`, async () => {
    // Guards against "not run" for a request that ran, and against its run at a second server.
    const { runs, statuses } = await sendCalls(method);
    assert.deepEqual(runs, ['r1', 'r2', 'r3']);
    assert.deepEqual(statuses, [200, 200, 200]);
  });
}
