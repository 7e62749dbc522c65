import { createServer, type IncomingMessage, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { LinkRequester, LinkRequestKind, MemberAnnouncement } from '@sequoiafield/types';
import { Packr } from 'msgpackr';
import { Agent, request } from 'undici';

type LinkHandler = (body: unknown, fromId: string) => unknown;

const packr = new Packr({ useRecords: false });

const readBody = async (message: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  for await (const chunk of message) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
};

/**
 * Sends and answers link requests over HTTP on loopback, in place of the package `transport`, and
 * counts the bytes of their bodies.
 *
 * @example
 * const links = new HttpLinks('node-1');
 * const linkPort = await links.listen();
 */
export class HttpLinks implements LinkRequester {
  /** Bytes of bodies sent and received. */
  bytes = 0;

  readonly #agent = new Agent({ keepAliveTimeout: 30_000, connections: 4 });

  readonly #handlers = new Map<LinkRequestKind, LinkHandler>();

  readonly #server: Server;

  constructor(private readonly selfId: string) {
    this.#server = createServer((message, response) => {
      this.#answer(message).then(
        (bytes) => response.end(bytes),
        () => {
          response.statusCode = 500;
          response.end();
        },
      );
    });
  }

  listen(): Promise<number> {
    return new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', () => {
        resolve((this.#server.address() as AddressInfo).port);
      });
    });
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  handle(kind: LinkRequestKind, handler: LinkHandler): void {
    this.#handlers.set(kind, handler);
  }

  async request(
    member: MemberAnnouncement,
    kind: LinkRequestKind,
    body: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    const sent = packr.pack({ fromId: this.selfId, body });
    const response = await request(`http://${member.address}:${member.linkPort}/${kind}`, {
      method: 'POST',
      body: sent,
      dispatcher: this.#agent,
      signal: AbortSignal.timeout(timeoutMs),
    });
    const received = Buffer.from(await response.body.arrayBuffer());
    this.bytes += sent.length + received.length;
    if (response.statusCode !== 200)
      throw new Error(
        `Member ${member.id} answered link request ${kind} with status ${response.statusCode}`,
      );
    return packr.unpack(received);
  }

  async #answer(message: IncomingMessage): Promise<Buffer> {
    const received = await readBody(message);
    const { fromId, body } = packr.unpack(received) as { fromId: string; body: unknown };
    const handler = this.#handlers.get(Number(message.url?.slice(1)));
    if (!handler) throw new Error(`Link request ${message.url} has no handler`);
    const sent = packr.pack((await handler(body, fromId)) ?? null);
    this.bytes += sent.length + received.length;
    return sent;
  }
}
