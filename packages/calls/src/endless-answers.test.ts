import assert from 'node:assert/strict';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { after, test } from 'node:test';
import { BodyChannel } from '@sequoiafield/transport';
import { monotonicNowMs } from '@sequoiafield/tables';
import { sampleOpen, waitUntil, writeWithoutEnd } from '@sequoiafield/test-kit';
import { bodyMaxBytes, RefusalOutcome } from '@sequoiafield/types';
import type { BackendRequestOutcome } from './backend-client.js';
import { DefaultCallProtocol, UndiciBackendClient } from './index.js';

const deadlineMs = 700;
/** Time after the deadline by which a connection is closed and its slot free. */
const closeMarginMs = 500;
const bufferedAnswerMaxBytes = 256 * 1024;
/** Bytes that may be in the buffers of both sockets in addition to those that were read. */
const socketBuffersBytes = 16 * 1024 * 1024;

class ProtocolWithoutLengths extends DefaultCallProtocol {
  override readonly acceptsAnswersWithoutLength = true;
}

interface EndlessResult {
  readonly outcome: string;
  readonly body: string;
  readonly end: BackendRequestOutcome;
  readonly receivedBytes: number;
  readonly tookMs: number;
}

/** Lines of one write; single ones would keep the event loop, which the client shares, busy with writes. */
const linesPerWrite = 512;

const readBody = async (body: AsyncIterable<Uint8Array>): Promise<string> => {
  try {
    for await (const chunk of body) if (chunk.length === 0) return 'empty chunk';
    return 'ended';
  } catch {
    return 'failed';
  }
};

/** Sends one request to a server that answers with bytes without end. */
const callEndlessServer = async (answer: (socket: Socket) => void): Promise<EndlessResult> => {
  let connection: Socket | undefined;
  const server = createServer((socket) => {
    connection = socket;
    socket.on('error', () => undefined);
    socket.once('data', () => answer(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const client = new UndiciBackendClient({
    origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    connectionsMax: 2,
    protocol: new ProtocolWithoutLengths(),
    bufferedAnswerMaxBytes,
    watchesAllConnections: true,
  });
  after(async () => {
    await client.close();
    connection?.destroy();
    server.close();
  });
  const startedAtMs = monotonicNowMs();
  const open = sampleOpen({
    requestId: 'r1',
    isIdempotent: false,
    headers: [['host', 'h']],
    deadlineAtMs: startedAtMs + deadlineMs,
  });
  let end: BackendRequestOutcome | undefined;
  const { signal } = new AbortController();
  const result = await client.send(open, deadlineMs, BodyChannel.of(undefined), signal, (ended) => {
    end = ended;
  });
  const body = result.kind === 'answer' ? await readBody(result.answer.body) : '';
  await waitUntil(() => end !== undefined && connection?.destroyed === true);
  return {
    outcome: result.kind === 'answer' ? 'answer' : result.refusal.outcome,
    body,
    end: end!,
    receivedBytes: connection!.bytesWritten,
    tookMs: monotonicNowMs() - startedAtMs,
  };
};

const okHead = 'HTTP/1.1 200 OK\r\nx-sequoiafield-request-id: r1\r\n';
const chunk = `4000\r\n${'c'.repeat(0x4000)}\r\n`;

/** Answers without end before a complete head, by name. */
const endlessHeads: Record<string, (socket: Socket) => void> = {
  'header fields': (socket) => writeWithoutEnd(socket, okHead, `x-more: ${'h'.repeat(1000)}\r\n`),
  'one header field': (socket) => writeWithoutEnd(socket, `${okHead}x-more: `, 'h'.repeat(4096)),
  'informational heads': (socket) =>
    writeWithoutEnd(socket, '', 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(linesPerWrite)),
  'bytes that are no answer': (socket) => writeWithoutEnd(socket, '', 'z'.repeat(4096)),
  'empty lines': (socket) => writeWithoutEnd(socket, '', '\r\n'.repeat(2048)),
  'one byte at a time': (socket) => {
    const timer = setInterval(() => socket.write('H'), 20);
    socket.on('close', () => clearInterval(timer));
  },
};

/** Answers with a sound head and a body without end, by name. */
const endlessBodies: Record<string, (socket: Socket) => void> = {
  chunks: (socket) => writeWithoutEnd(socket, `${okHead}transfer-encoding: chunked\r\n\r\n`, chunk),
  'a body without a length': (socket) =>
    writeWithoutEnd(socket, `${okHead}connection: close\r\n\r\n`, 'b'.repeat(0x4000)),
  'the extension of a chunk': (socket) =>
    writeWithoutEnd(socket, `${okHead}transfer-encoding: chunked\r\n\r\n1;e=`, 'e'.repeat(4096)),
  trailers: (socket) =>
    writeWithoutEnd(
      socket,
      `${okHead}transfer-encoding: chunked\r\n\r\n0\r\n`,
      'x-t: 1\r\n'.repeat(linesPerWrite),
    ),
};

const checkBounds = (name: string, { end, receivedBytes, tookMs }: EndlessResult): void => {
  assert.equal(end.hasFailed, true, `${name}: it counts as a failure of the server`);
  assert.ok(tookMs <= deadlineMs + closeMarginMs, `${name}: closed after ${tookMs} ms`);
  const bytesMax = bodyMaxBytes + socketBuffersBytes;
  assert.ok(receivedBytes <= bytesMax, `${name}: ${receivedBytes} bytes were sent`);
};

test('a head without end closes the connection, and the outcome is unknown', async () => {
  // Guards against a slot that is never free again, and against memory that grows with the bytes.
  for (const [name, answer] of Object.entries(endlessHeads)) {
    const result = await callEndlessServer(answer);
    assert.equal(result.outcome, String(RefusalOutcome.Unknown), name);
    checkBounds(name, result);
  }
});

test('a body without end closes the connection and never looks complete', async () => {
  // Guards against a client that takes the part of an endless answer for the whole.
  for (const [name, answer] of Object.entries(endlessBodies)) {
    const result = await callEndlessServer(answer);
    const isIncomplete =
      result.outcome === String(RefusalOutcome.Unknown) || result.body === 'failed';
    assert.ok(isIncomplete, `${name}: ${result.outcome} ${result.body}`);
    checkBounds(name, result);
  }
});

test('bytes without end behind a complete answer close its connection', async () => {
  // Guards against bytes that belong to no request and are read with the next answer.
  const result = await callEndlessServer((socket) =>
    writeWithoutEnd(
      socket,
      `${okHead}keep-alive: timeout=5\r\ncontent-length: 2\r\n\r\nok`,
      okHead.repeat(20),
    ),
  );
  assert.deepEqual([result.outcome, result.body], ['answer', 'ended']);
  assert.ok(result.receivedBytes <= socketBuffersBytes, `${result.receivedBytes} bytes were sent`);
});
