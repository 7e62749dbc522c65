import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MembershipError } from '@sequoiafield/errors';
import { UdpSocket } from './udp-socket.js';

test('datagrams pass between two sockets on ports that the system chose', async () => {
  // Guards against a socket that returns port 0 as bound port, or whose handler is never called.
  const [left, right] = [new UdpSocket(), new UdpSocket()];
  await left.bind(0, '127.0.0.1');
  const port = await right.bind(0, '127.0.0.1');
  const received = new Promise<Uint8Array>((resolve) => {
    right.onMessage(resolve);
  });
  left.send(Buffer.from('ping'), port, '127.0.0.1');
  assert.equal(Buffer.from(await received).toString(), 'ping');
  const other = new UdpSocket();
  await assert.rejects(other.bind(port, '127.0.0.1'), MembershipError);
  for (const socket of [left, right, other]) socket.close();
  left.send(Buffer.from('after close'), port, '127.0.0.1');
});
