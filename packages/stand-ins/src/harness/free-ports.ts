import { createSocket } from 'node:dgram';
import { createServer } from 'node:net';

// Ports lie below the range that Linux uses for outgoing connections (32768 and up), so that no
// connection of another process occupies a port between the check and its use.
const firstPort = 12_000;
const lastPort = 31_000;

let nextPort = firstPort + ((process.pid * 97) % (lastPort - firstPort));

const canListenTcp = (port: number, address: string): Promise<boolean> =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, address, () => server.close(() => resolve(true)));
  });

const canBindUdp = (port: number, address: string): Promise<boolean> =>
  new Promise((resolve) => {
    const socket = createSocket('udp4');
    socket.once('error', () => resolve(false));
    socket.bind(port, address, () => socket.close(() => resolve(true)));
  });

/**
 * Allocates a loopback port that is free for TCP and UDP; this process does not allocate it again.
 *
 * @example
 * const port = await allocateFreePort();
 */
export const allocateFreePort = async (address = '127.0.0.1'): Promise<number> => {
  for (;;) {
    const port = nextPort;
    nextPort = port + 1 > lastPort ? firstPort : port + 1;
    if ((await canListenTcp(port, address)) && (await canBindUdp(port, address))) return port;
  }
};
