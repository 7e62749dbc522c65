import { createServer, type AddressInfo } from 'node:net';
import { NodeError } from '@sequoiafield/errors';

/**
 * Returns the configured port, or a free one if it is 0. All ports must be known before the
 * components start, because a node announces them to the members together.
 *
 * @throws NodeError if the address cannot be used.
 * @example
 * const linkPort = await choosePort(0, '127.0.0.1');
 */
export const choosePort = (configuredPort: number, address: string): Promise<number> => {
  if (configuredPort !== 0) return Promise.resolve(configuredPort);
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
