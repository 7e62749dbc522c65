import { STATUS_CODES } from 'node:http';
import type { Socket } from 'node:net';

const requestTimeout = 408;
const headersTooLarge = 431;
const badRequest = 400;

const statusOf = (code: string | undefined): number => {
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return requestTimeout;
  return code === 'HPE_HEADER_OVERFLOW' ? headersTooLarge : badRequest;
};

/** Answers bytes that are no request, and closes their connection. */
export const refuseMalformedRequest = (error: NodeJS.ErrnoException, socket: Socket): void => {
  if (error.code === 'ECONNRESET' || socket.destroyed) return;
  if (socket.writable) {
    const status = statusOf(error.code);
    const text = STATUS_CODES[status] ?? '';
    const body = JSON.stringify({ error: text, statusCode: status });
    const head = `HTTP/1.1 ${status} ${text}\r\nconnection: close\r\ncontent-length: ${body.length}`;
    socket.write(`${head}\r\ncontent-type: application/json\r\n\r\n${body}`);
  }
  socket.destroy(error);
};
