import { createServer, type AddressInfo } from 'node:net';
import { NodeError } from '@sequoiafield/errors';

/**
 * Returns the wanted port, or for 0 one that is free now. The port must be known before the parts
 * start, since members learn all ports of a node at once.
 *
 * @throws NodeError if the address cannot be used.
 * @example
 * const linkPort = await choosePort(0, '127.0.0.1');
 */
export const choosePort = (wantedPort: number, address: string): Promise<number> => {
  if (wantedPort !== 0) return Promise.resolve(wantedPort);
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', (cause) => {
      reject(new NodeError(`Cannot listen on ${address}`, { cause }));
    });
    server.listen(0, address, () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(port));
    });
  });
};
