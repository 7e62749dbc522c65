import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { handleParentRequests } from './handle-parent-requests.js';

/** Size of an answer; it is small, so that the cost of a call shows and not that of its bytes. */
const answerBytes = 200;
const answer = Buffer.alloc(answerBytes, 'a');

const server = createServer((request, response) => {
  request.resume();
  request.on('end', () => {
    response.writeHead(200, {
      'content-type': 'text/plain',
      'content-length': String(answerBytes),
    });
    response.end(answer);
  });
});
server.keepAliveTimeout = 60_000;
server.listen(0, '127.0.0.1', () => {
  handleParentRequests({ port: (server.address() as AddressInfo).port }, async () => undefined);
});
