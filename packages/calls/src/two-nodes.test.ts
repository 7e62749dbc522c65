import assert from 'node:assert/strict';
import { test } from 'node:test';
import { matchSnapshot } from '@sequoiafield/test-kit';
import { listen, CallNodeFixture } from './test-support/call-node-fixture.js';

test('a call passes two nodes and comes back whole', async (t) => {
  // Guards against a call path that drops, changes or mixes parts of the request or the answer.
  const [server, origin] = await listen((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      const seen = { method: request.method, url: request.url, headers: request.headers };
      const bytes = Buffer.concat(chunks).byteLength;
      response.setHeader('x-answer', 'yes');
      response.end(JSON.stringify({ ...seen, bytes }));
    });
  });
  const far = await new CallNodeFixture('b', { origin }).start();
  const near = await new CallNodeFixture('a').start();
  t.after(async () => {
    await Promise.all([near.stop(), far.stop()]);
    server.close();
  });
  near.setMembers([far.row]);
  const headers = { 'x-sequoiafield-request-id': 'r-1', 'x-sequoiafield-deadline-ms': '900' };
  const response = await fetch(`${near.url}/settle/7?full=1`, {
    method: 'POST',
    headers,
    body: 'x'.repeat(200),
  });
  const seen = (await response.json()) as { headers: Record<string, string> };
  const remainingMs = Number(seen.headers['x-sequoiafield-deadline-ms']);
  assert.ok(remainingMs > 0 && remainingMs < 900, `deadline passed on as ${remainingMs} ms`);
  matchSnapshot(import.meta.filename, 'request as the backend server saw it', {
    status: response.status,
    answerHeader: response.headers.get('x-answer'),
    requestId: response.headers.get('x-sequoiafield-request-id'),
    ...seen,
    headers: Object.keys(seen.headers).sort(),
    evidence: far.evidence.length,
    released: far.released,
  });
  const large = Buffer.alloc(3 * 1024 * 1024, 7);
  const echo = await fetch(`${near.url}/large`, { method: 'POST', body: large });
  assert.equal(((await echo.json()) as { bytes: number }).bytes, large.byteLength);
});
