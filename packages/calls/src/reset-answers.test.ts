import assert from 'node:assert/strict';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { after, test } from 'node:test';
import { BodyChannel } from '@sequoiafield/transport';
import { monotonicNowMs } from '@sequoiafield/tables';
import { sampleOpen } from '@sequoiafield/test-kit';
import type { BackendResult } from './backend-client.js';
import { DefaultCallProtocol, UndiciBackendClient } from './index.js';

class ProtocolWithoutLengths extends DefaultCallProtocol {
  override readonly acceptsAnswersWithoutLength = true;
}

const open = sampleOpen({ requestId: 'r1', headers: [['host', 'h']] });

/** Sends one request to a server that ends its answer with `endAnswer`. */
const sendTo = async (endAnswer: (socket: Socket) => void): Promise<BackendResult> => {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf');
      endAnswer(socket);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const client = new UndiciBackendClient({
    origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    connectionsMax: 4,
    protocol: new ProtocolWithoutLengths(),
    bufferedAnswerMaxBytes: 1024,
    watchesAllConnections: true,
  });
  after(async () => {
    await client.close();
    server.close();
  });
  const { signal } = new AbortController();
  const openWithDeadline = { ...open, deadlineAtMs: monotonicNowMs() + 5000 };
  return client.send(openWithDeadline, 5000, BodyChannel.of(undefined), signal, () => undefined);
};

test('an answer without a length is complete after an orderly end', async () => {
  // Guards against an answer that is discarded although its server ended it in order.
  const result = await sendTo((socket) => socket.end(' and half'));
  assert.ok(result.kind === 'answer');
  assert.equal(Buffer.from(result.answer.body.takeWhole()!).toString(), 'half and half');
});

test('an answer without a length fails if its connection is reset with its last bytes', async () => {
  // Guards against a reset that is reported as an end, because it arrives in one poll with the last
  // bytes.
  const result = await sendTo((socket) => socket.resetAndDestroy());
  assert.equal(result.kind, 'refusal');
});

test('an answer without a length fails if its connection is reset later', async () => {
  // Guards against taking the part before a reset for the complete answer.
  const result = await sendTo((socket) => setTimeout(() => socket.resetAndDestroy(), 30));
  assert.equal(result.kind, 'refusal');
});
