import assert from 'node:assert/strict';
import { createSocket } from 'node:dgram';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { after, test } from 'node:test';
import { FaultDirection, PathFaultMode, noFault } from './path-fault.js';
import { TcpProxyPath } from './tcp-proxy-path.js';
import { UdpProxyPath } from './udp-proxy-path.js';

const cleanups: (() => unknown)[] = [];
after(() => cleanups.forEach((cleanUp) => cleanUp()));

const startEchoServer = async (): Promise<number> => {
  const server = createServer((socket) => socket.on('error', () => undefined).pipe(socket));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  cleanups.push(() => server.close());
  return (server.address() as AddressInfo).port;
};

const openConnection = async (port: number, localAddress = '127.0.0.1'): Promise<Socket> => {
  const socket = connect({ port, host: '127.0.0.1', localAddress });
  cleanups.push(() => socket.destroy());
  await new Promise((resolve) => {
    socket.once('connect', resolve);
  });
  return socket;
};

const echo = (socket: Socket, text: string, waitMs = 2000): Promise<string> =>
  new Promise((resolve) => {
    const timer = setTimeout(() => resolve('nothing'), waitMs);
    socket.once('data', (chunk: Buffer) => {
      clearTimeout(timer);
      resolve(chunk.toString());
    });
    socket.once('close', () => resolve('closed'));
    socket.write(text);
  });

test('a silent connection stays silent while a new one works', async () => {
  // Guards against a proxy that does not reproduce silent connections, which links must detect.
  const path = new TcpProxyPath('link', 0, '127.0.0.1', await startEchoServer());
  await path.start();
  cleanups.push(() => path.stop());
  const first = await openConnection(path.listenPort);
  assert.equal(await echo(first, 'a'), 'a');
  path.setFault({ ...noFault, mode: PathFaultMode.Silent });
  assert.equal(await echo(first, 'b', 100), 'nothing');
  const second = await openConnection(path.listenPort);
  assert.equal(await echo(second, 'c'), 'c');
  path.setFault(noFault);
  assert.equal(await echo(first, 'd', 100), 'nothing');
});

test('freeze holds bytes and delivers them later, and cut closes the connection', async () => {
  // Guards against bytes that are lost when a freeze ends, which would be a different fault.
  const path = new TcpProxyPath('link', 0, '127.0.0.1', await startEchoServer());
  await path.start();
  cleanups.push(() => path.stop());
  const socket = await openConnection(path.listenPort);
  path.setFault({ ...noFault, mode: PathFaultMode.Freeze, direction: FaultDirection.ToClient });
  const held = echo(socket, 'late');
  path.setFault(noFault);
  assert.equal(await held, 'late');
  path.setFault({ ...noFault, mode: PathFaultMode.Cut });
  assert.equal(await echo(socket, 'x'), 'closed');
});

test('datagrams are duplicated and reordered', async () => {
  // Guards against a UDP path that forwards datagrams unchanged in these modes.
  const server = createSocket('udp4');
  const received: string[] = [];
  server.on('message', (message) => received.push(message.toString()));
  await new Promise<void>((resolve) => {
    server.bind(0, '127.0.0.1', resolve);
  });
  cleanups.push(() => server.close());
  const path = new UdpProxyPath('gossip', 0, '127.0.0.1', server.address().port, 1);
  await path.start();
  cleanups.push(() => path.stop());
  const client = createSocket('udp4');
  cleanups.push(() => client.close());
  const send = async (text: string, count: number): Promise<void> => {
    client.send(text, path.listenPort, '127.0.0.1');
    for (let waited = 0; received.length < count && waited < 200; waited += 1) {
      await new Promise((resolve) => {
        setTimeout(resolve, 10);
      });
    }
  };
  path.setFault({ ...noFault, mode: PathFaultMode.Duplicate });
  await send('a', 2);
  path.setFault({ ...noFault, mode: PathFaultMode.Reorder });
  client.send('b', path.listenPort, '127.0.0.1');
  await send('c', 4);
  assert.deepEqual(received, ['a', 'a', 'c', 'b']);
});

test('a cut for one client address does not affect other clients', async () => {
  // Guards against a cut between two groups that also cuts the paths within one of them.
  const path = new TcpProxyPath('link', 0, '127.0.0.1', await startEchoServer());
  await path.start();
  cleanups.push(() => path.stop());
  const near = await openConnection(path.listenPort);
  const far = await openConnection(path.listenPort, '127.0.0.2');
  path.setFault({ ...noFault, mode: PathFaultMode.Cut, clientAddress: '127.0.0.2' });
  const [nearResult, farResult] = await Promise.all([echo(near, 'near'), echo(far, 'far')]);
  assert.deepEqual([nearResult, farResult], ['near', 'closed']);
});
