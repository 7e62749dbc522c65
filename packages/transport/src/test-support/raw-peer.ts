import { once } from 'node:events';
import { monotonicNowMs } from '@sequoiafield/tables';
import { Priority, type CallOpen } from '@sequoiafield/types';
import { WebSocket, WebSocketServer } from 'ws';
import { encodeOpen, encodeValue } from '../call-codec.js';
import { protocolVersion } from '../connection.js';
import { encodeFrame, FrameKind, readFrames } from '../frames.js';

interface RawFrame {
  readonly kind: FrameKind;
  readonly id: number;
  readonly payload: Buffer;
}

const ackStep = 2;

/** Peer that speaks frames by hand, so that a test can send what a transport never would. */
export class RawPeer {
  readonly frames: RawFrame[] = [];

  constructor(
    readonly socket: WebSocket,
    private readonly id: string,
    private readonly isDialer: boolean,
  ) {
    socket.on('message', (message: Buffer) =>
      readFrames(message, (kind, frameId, payload) => this.#onFrame(kind, frameId, payload)),
    );
  }

  /** Dials a transport and exchanges the hellos. */
  static async dial(port: number, id: string): Promise<RawPeer> {
    const peer = new RawPeer(new WebSocket(`ws://127.0.0.1:${port}/`), id, true);
    await once(peer.socket, 'open');
    peer.#sendHello();
    await peer.waitFor(FrameKind.Hello);
    return peer;
  }

  /** Accepts one transport on a free port; resolves with the port and the peer to come. */
  static async listen(
    id: string,
  ): Promise<{ port: number; server: WebSocketServer; peer: RawPeer[] }> {
    const server = new WebSocketServer({ port: 0, host: '127.0.0.1' });
    await once(server, 'listening');
    const peer: RawPeer[] = [];
    server.on('connection', (socket) => peer.push(new RawPeer(socket, id, false)));
    return { port: (server.address() as { port: number }).port, server, peer };
  }

  /** Sends frames as one message. */
  send(...frames: (readonly Uint8Array[])[]): void {
    this.socket.send(Buffer.concat(frames.flat()));
  }

  /** Waits until a number of frames of a kind came, and returns them. */
  async waitFor(kind: FrameKind, count = 1): Promise<RawFrame[]> {
    for (;;) {
      const found = this.frames.filter((frame) => frame.kind === kind);
      if (found.length >= count) return found;
      await once(this.socket, 'message');
    }
  }

  #sendHello(): void {
    const hello = encodeValue([protocolVersion, this.id, 1000, monotonicNowMs()]);
    this.send(encodeFrame(FrameKind.Hello, 0, hello));
  }

  #onFrame(kind: FrameKind, id: number, payload: Buffer): void {
    this.frames.push({ kind, id, payload: Buffer.from(payload) });
    if (kind !== FrameKind.Hello) return;
    const nowMs = monotonicNowMs();
    // One process, one clock: the peer's time is this one's, so that the echo is exact.
    const ack = encodeValue([ackStep, nowMs, nowMs]);
    if (this.isDialer) this.send(encodeFrame(FrameKind.Heartbeat, 0, ack));
    else this.#sendHello();
  }
}

/** Head of a test call; `extra` replaces fields. */
export const makeCallOpen = (sequence: number, extra: Partial<CallOpen> = {}): CallOpen => ({
  requestId: `r-${sequence}`,
  attempt: { senderId: 'a', senderIncarnation: 1000, sequence, receiverIncarnation: 1000 },
  service: 'settlement',
  route: 'settle',
  backendVersion: 'v1',
  configVersion: 1,
  priority: Priority.Critical,
  isIdempotent: false,
  deadlineAtMs: monotonicNowMs() + 5000,
  method: 'POST',
  path: '/',
  headers: [],
  ...extra,
});

/** Open frame of a test call without a body. */
export const encodeOpenFrame = (open: CallOpen): Uint8Array[] =>
  encodeFrame(FrameKind.Open, open.attempt.sequence, encodeOpen(open));
