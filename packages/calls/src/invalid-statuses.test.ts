import assert from 'node:assert/strict';
import { createServer, type AddressInfo } from 'node:net';
import { after, before, test } from 'node:test';
import { BodyChannel } from '@sequoiafield/transport';
import { AnswerWriter } from './answer-writer.js';
import { DefaultCallProtocol } from './call-protocol.js';
import { CallNodeFixture, listen } from './test-support/call-node-fixture.js';

/** Statuses that no answer has (RFC 9110, section 15). */
const invalidStatuses = [
  ...['000', '099', '600', '999', '+20', '-20', '2x0', '20', '2000', '00200', ' 200'],
  ...['100', '101'],
];
/** Informational statuses, which an answer has to follow. */
const informationalStatuses = ['102', '103', '199'];

let statusLine = '';
let body = '';
/** Answers each request with a chosen status line, and keeps the connection open. */
const faultyServer = createServer((socket) => {
  socket.on('error', () => undefined);
  socket.on('data', () => {
    const id = 'x-sequoiafield-request-id: r1';
    socket.write(
      `HTTP/1.1 ${statusLine}\r\n${id}\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
    );
  });
});

let entryNode: CallNodeFixture;

before(async () => {
  await new Promise<void>((resolve) => {
    faultyServer.listen(0, '127.0.0.1', resolve);
  });
  const { port } = faultyServer.address() as AddressInfo;
  const [, goodOrigin] = await listen((_request, response) => response.end('good'));
  const backend = { watchesAllConnections: true, bufferedAnswerMaxBytes: 256 * 1024 };
  const origin = `http://127.0.0.1:${port}`;
  const badNode = await new CallNodeFixture('b', { origin, backend }).start();
  const goodNode = await new CallNodeFixture('c', { origin: goodOrigin }).start();
  entryNode = await new CallNodeFixture('a').start();
  entryNode.setMembers([badNode.row, goodNode.row]);
});

after(() => faultyServer.close());

const call = async (method: string): Promise<string> => {
  const headers = { 'x-sequoiafield-request-id': 'r1', 'x-sequoiafield-deadline-ms': '2000' };
  const response = await fetch(`${entryNode.url}/x`, { method, headers });
  const text = await response.text();
  return `${response.status} ${response.headers.get('x-sequoiafield-outcome') ?? text}`;
};

test('an answer of the backend server with an invalid status is a failed exchange', async () => {
  // Guards against a caller that gets a status such as 000 for an answer.
  const cases = [...invalidStatuses, ...informationalStatuses].map((status) => [status, 'bad']);
  cases.push(...invalidStatuses.map((status) => [status, '']));
  const results: Record<string, string[]> = {};
  for (const [status = '', text = ''] of cases) {
    statusLine = `${status} X`;
    body = text;
    results[`${status} ${text}`] = [await call('GET'), await call('POST')];
  }
  const failed = ['200 good', '502 unknown'];
  const expected = cases.map(([status, text]) => [`${status} ${text}`, failed]);
  assert.deepEqual(results, Object.fromEntries(expected));
});

test('an informational head before the answer is skipped', async () => {
  // Guards against a check that fails answers with early hints, which are valid.
  statusLine = '103 Early Hints\r\n\r\nHTTP/1.1 201 Created';
  body = 'done';
  assert.equal(await call('POST'), '201 done');
});

test('an invalid status is never written to a caller', async () => {
  // Guards against a fault of the hops before that would reach callers.
  let status: unknown;
  const [, origin] = await listen((_request, response) => {
    const load = { runningCalls: 0, queuedCalls: 0, slotsNow: 1 };
    const answer = { headers: [], body: BodyChannel.of(Buffer.from('bad')), load };
    const writer = new AnswerWriter(response, 'r1', new DefaultCallProtocol());
    writer.writeAnswer({ ...answer, status: status as number }).catch(() => response.destroy());
  });
  const results: unknown[] = [];
  for (const invalid of [0, 99, 100, 101, 199, 600, 999, -20, 2000, 200.5, NaN, '200', null]) {
    status = invalid;
    const response = await fetch(origin).catch(() => undefined);
    const result = [response?.status, response?.headers.get('x-sequoiafield-outcome')];
    if (result.join() !== '502,unknown') results.push([invalid, ...result]);
  }
  assert.deepEqual(results, []);
});
