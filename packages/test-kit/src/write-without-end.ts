import type { Socket } from 'node:net';

/**
 * Writes `start` and then `repeated` until the peer closes the connection, as fast as it reads.
 *
 * @example
 * writeWithoutEnd(socket, 'HTTP/1.1 200 OK\r\n', 'x-more: 1\r\n');
 */
export const writeWithoutEnd = (socket: Socket, start: string, repeated: string): void => {
  socket.on('error', () => undefined);
  socket.write(start);
  const write = (): void => {
    while (!socket.destroyed && socket.writable && socket.write(repeated));
  };
  socket.on('drain', write);
  write();
};
