import assert from 'node:assert/strict';
import { test } from 'node:test';
import { matchSnapshot } from '@sequoiafield/test-kit';
import { listen, CallNodeFixture } from './test-support/call-node-fixture.js';

test('a call over two nodes keeps its request and answer unchanged', async (t) => {
  // Guards against a call path that drops, changes or mixes up parts of the request or the answer.
  const [server, origin] = await listen((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      const received = { method: request.method, url: request.url, headers: request.headers };
      const bytes = Buffer.concat(chunks).byteLength;
      response.setHeader('x-answer', 'yes');
      response.end(JSON.stringify({ ...received, bytes }));
    });
  });
  const serverNode = await new CallNodeFixture('b', { origin }).start();
  const entryNode = await new CallNodeFixture('a').start();
  t.after(async () => {
    await Promise.all([entryNode.stop(), serverNode.stop()]);
    server.close();
  });
  entryNode.setMembers([serverNode.row]);
  const headers = { 'x-sequoiafield-request-id': 'r-1', 'x-sequoiafield-deadline-ms': '900' };
  const response = await fetch(`${entryNode.url}/settle/7?full=1`, {
    method: 'POST',
    headers,
    body: 'x'.repeat(200),
  });
  const received = (await response.json()) as { headers: Record<string, string> };
  const remainingMs = Number(received.headers['x-sequoiafield-deadline-ms']);
  assert.ok(
    remainingMs > 0 && remainingMs < 900,
    `the backend server received a deadline of ${remainingMs} ms`,
  );
  matchSnapshot(import.meta.filename, 'request as received by the backend server', {
    status: response.status,
    answerHeader: response.headers.get('x-answer'),
    requestId: response.headers.get('x-sequoiafield-request-id'),
    ...received,
    headers: Object.keys(received.headers).sort(),
    evidence: serverNode.evidence.length,
    released: serverNode.released,
  });
  const large = Buffer.alloc(3 * 1024 * 1024, 7);
  const largeAnswer = await fetch(`${entryNode.url}/large`, { method: 'POST', body: large });
  assert.equal(((await largeAnswer.json()) as { bytes: number }).bytes, large.byteLength);
});
