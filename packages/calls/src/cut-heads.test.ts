import assert from 'node:assert/strict';
import { request } from 'node:http';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { after, before, test } from 'node:test';
import { BackendExchange } from './backend-exchange.js';
import { DefaultCallProtocol } from './index.js';
import { CallNodeFixture } from './test-support/call-node-fixture.js';

class ProtocolWithoutLengths extends DefaultCallProtocol {
  override readonly acceptsAnswersWithoutLength = true;
}

const protocol = new ProtocolWithoutLengths();
const body = 'the whole answer';
const framings = {
  length: `content-length: ${body.length}\r\n\r\n${body}`,
  chunks: `transfer-encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
  close: `connection: close\r\n\r\n${body}`,
  early: `x-more: 1\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
};
type Framing = keyof typeof framings;

const answerOf = (framing: Framing, requestId: string): string => {
  const status = framing === 'early' ? '103 Early Hints' : '200 OK';
  return `HTTP/1.1 ${status}\r\nx-sequoiafield-request-id: ${requestId}\r\n${framings[framing]}`;
};

/** Where the head of an answer ends; an answer without a length may end at any later byte. */
const headEndOf = (answer: string): number =>
  answer.lastIndexOf('\r\n\r\n', answer.indexOf(body)) + 4;

const ends: Readonly<Record<string, (socket: Socket) => unknown>> = {
  end: (socket) => socket.end(),
  reset: (socket) => socket.resetAndDestroy(),
};

let answerWith: (socket: Socket, requestId: string) => void = () => undefined;

const upstream = createServer((socket) => {
  let received = '';
  socket.on('error', () => undefined);
  socket.on('data', (bytes) => {
    received += String(bytes);
    if (!received.includes('\r\n\r\n')) return;
    const [, requestId = ''] = /x-sequoiafield-request-id: (\S+)/i.exec(received) ?? [];
    received = '';
    answerWith(socket, requestId);
  });
});

/** Passes bytes between the nodes; ends both sides before the bytes from `cutAt` on come back. */
let cutAt = Number.POSITIVE_INFINITY;
let serverLinkPort = 0;
const linkProxy = createServer((socket) => {
  const link = connect(serverLinkPort, '127.0.0.1');
  let returnedBytes = 0;
  const destroy = (): void => {
    socket.destroy();
    link.destroy();
  };
  for (const side of [socket, link]) side.on('error', destroy).on('close', destroy);
  socket.on('data', (bytes) => link.write(bytes));
  link.on('data', (bytes) => {
    const passed = bytes.subarray(0, Math.max(0, cutAt - returnedBytes));
    returnedBytes += passed.length;
    socket.write(passed, () => {
      if (passed.length < bytes.length) destroy();
    });
  });
});

const listen = (server: ReturnType<typeof createServer>): Promise<number> =>
  new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => resolve((server.address() as AddressInfo).port));
  });

let entryNode: CallNodeFixture;
let serverNode: CallNodeFixture;

before(async () => {
  const origin = `http://127.0.0.1:${await listen(upstream)}`;
  const backend = { protocol, watchesAllConnections: true, bufferedAnswerMaxBytes: 1024 };
  serverNode = await new CallNodeFixture('b', { origin, backend, protocol }).start();
  entryNode = await new CallNodeFixture('a', { protocol }).start();
  serverLinkPort = serverNode.row.linkPort;
  entryNode.setMembers([{ ...serverNode.row, linkPort: await listen(linkProxy) }]);
  serverNode.setMembers([serverNode.row]);
});

after(async () => {
  await Promise.all([entryNode.stop(), serverNode.stop()]);
  upstream.close();
  linkProxy.close();
});

interface ReceivedAnswer {
  readonly status: number;
  readonly text: string;
  /** Whether the answer ended as its framing says. */
  readonly isWhole: boolean;
}

let requestCount = 0;

/** Sends a non-idempotent request through a node on a new connection. */
const callThrough = (node: CallNodeFixture): Promise<ReceivedAnswer> =>
  new Promise((resolve) => {
    requestCount += 1;
    const headers = {
      'x-sequoiafield-request-id': `r${requestCount}`,
      'x-sequoiafield-deadline-ms': '2000',
      'content-length': '0',
    };
    const outgoing = request(`${node.url}/settle/1`, { method: 'POST', headers, agent: false });
    outgoing.on('error', () => resolve({ status: 0, text: '', isWhole: false }));
    outgoing.on('response', (answer) => {
      let text = '';
      answer.on('data', (bytes) => {
        text += String(bytes);
      });
      answer.on('close', () =>
        resolve({ status: answer.statusCode ?? 0, text, isWhole: answer.complete }),
      );
      answer.on('error', () => undefined);
    });
    outgoing.end();
  });

const isFalseSuccess = ({ status, text, isWhole }: ReceivedAnswer): boolean =>
  status >= 200 && status < 300 && isWhole && text !== body;

Object.keys(ends).forEach((end) => {
  test(`an answer whose head is cut (${end}) is no success, beside the upstream and over a link`, async () => {
    // Guards against a 200 with an empty or short body that is framed as whole.
    const falseSuccesses: string[] = [];
    for (const framing of Object.keys(framings) as Framing[]) {
      const headEnd = headEndOf(answerOf(framing, 'r100'));
      for (let length = 1; length < headEnd; length += 3) {
        answerWith = (socket, requestId) => {
          const head = answerOf(framing, requestId).slice(0, length);
          socket.write(head, () => ends[end]?.(socket));
        };
        for (const node of [serverNode, entryNode]) {
          const answer = await callThrough(node);
          if (answer.status < 500 && answer.status !== 0)
            falseSuccesses.push(`${framing} ${length} ${node.self.id} ${answer.status}`);
        }
      }
    }
    assert.deepEqual(falseSuccesses, []);
  });
});

test('a whole answer passes, also as the first of a kept connection before a cut one', async () => {
  // Guards against a test in which nothing is answered, and against the state of an earlier answer.
  for (const framing of ['length', 'chunks'] as const) {
    answerWith = (socket, requestId) => socket.write(answerOf(framing, requestId));
    const whole = await callThrough(entryNode);
    assert.deepEqual(whole, { status: 200, text: body, isWhole: true });
    answerWith = (socket, requestId) => socket.end(answerOf(framing, requestId).slice(0, 40));
    assert.ok((await callThrough(entryNode)).status >= 500);
  }
});

test('an answer that is cut on the link between two nodes is no success', async () => {
  // Guards against a node that ends an answer of which the other node sent only a part.
  answerWith = (socket, requestId) => socket.write(answerOf('length', requestId));
  const falseSuccesses: string[] = [];
  let successes = 0;
  for (let bytes = 1; bytes < 900; bytes += 7) {
    cutAt = bytes;
    const answer = await callThrough(entryNode);
    if (isFalseSuccess(answer)) falseSuccesses.push(`${bytes} ${answer.status} ${answer.text}`);
    if (answer.status === 200) successes += 1;
  }
  cutAt = Number.POSITIVE_INFINITY;
  assert.deepEqual(falseSuccesses, []);
  assert.ok(successes > 0, 'no cut was late enough for a whole answer');
});

test('without the check of the head, a cut head is taken for an answer', async (t) => {
  // Shows that the tests above detect the fault.
  t.mock.method(BackendExchange.prototype, 'onResponseError', function end(this: BackendExchange) {
    const rawHeaders = ['content-length', '0'].map((text) => Buffer.from(text));
    const controller = { rawHeaders, abort: () => undefined } as never;
    this.onResponseStart(controller, 200);
    this.onResponseEnd(controller);
  });
  answerWith = (socket, requestId) => socket.end(answerOf('length', requestId).slice(0, 40));
  for (const node of [serverNode, entryNode])
    assert.ok(isFalseSuccess(await callThrough(node)), node.self.id);
});
