import { createSocket } from 'node:dgram';
import { createServer } from 'node:net';

// Ports lie below the range that Linux uses for outgoing connections (32768 and up), so that no
// connection of another process occupies a port between the check and its use.
const firstPort = 12_000;
const blockSize = 100;
const blockCount = 200;

const listen = (port: number, address: string): Promise<ReturnType<typeof createServer> | null> =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(null));
    server.listen(port, address, () => resolve(server));
  });

const canListenTcp = async (port: number, address: string): Promise<boolean> => {
  const server = await listen(port, address);
  if (!server) return false;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return true;
};

const canBindUdp = (port: number, address: string): Promise<boolean> =>
  new Promise((resolve) => {
    const socket = createSocket('udp4');
    socket.once('error', () => resolve(false));
    socket.bind(port, address, () => socket.close(() => resolve(true)));
  });

/**
 * Claims a block of ports for this process. The process listens on the first port of the block
 * until it ends, so that no other test process allocates the ports that follow.
 */
const claimBlock = async (): Promise<Iterator<number>> => {
  const firstBlock = process.pid % blockCount;
  for (let count = 0; count < blockCount; count += 1) {
    const blockPort = firstPort + ((firstBlock + count) % blockCount) * blockSize;
    const claim = await listen(blockPort, '127.0.0.1');
    if (claim) {
      claim.unref();
      return Array.from({ length: blockSize - 1 }, (_, index) => blockPort + 1 + index).values();
    }
  }
  throw new Error(`None of ${blockCount} blocks of ports from ${firstPort} on is free`);
};

let claimedPorts: Promise<Iterator<number>> | undefined;

const takeNextPort = async (): Promise<number> => {
  for (;;) {
    claimedPorts ??= claimBlock();
    const claimed = claimedPorts;
    const next = (await claimed).next();
    if (!next.done) return next.value;
    if (claimedPorts === claimed) claimedPorts = undefined;
  }
};

/**
 * Allocates a loopback port that is free for TCP and UDP. Neither this process nor another test
 * process that runs at the same time allocates it again. Throws if all blocks of ports are claimed.
 *
 * @example
 * const port = await allocateFreePort();
 */
export const allocateFreePort = async (address = '127.0.0.1'): Promise<number> => {
  for (;;) {
    const port = await takeNextPort();
    if ((await canListenTcp(port, address)) && (await canBindUdp(port, address))) return port;
  }
};
