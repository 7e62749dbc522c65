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

const heartbeatAckStep = 2;

/** Fake peer that sends raw frames, so that a test can send those that a transport never sends. */
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

  /** Connects to a transport and exchanges the hellos. */
  static async dial(port: number, id: string): Promise<RawPeer> {
    const peer = new RawPeer(new WebSocket(`ws://127.0.0.1:${port}/`), id, true);
    await once(peer.socket, 'open');
    peer.#sendHello();
    await peer.waitFor(FrameKind.Hello);
    return peer;
  }

  /** Listens on a free port; each accepted connection is appended to the returned `peers`. */
  static async listen(
    id: string,
  ): Promise<{ port: number; server: WebSocketServer; peers: RawPeer[] }> {
    const server = new WebSocketServer({ port: 0, host: '127.0.0.1' });
    await once(server, 'listening');
    const peers: RawPeer[] = [];
    server.on('connection', (socket) => peers.push(new RawPeer(socket, id, false)));
    return { port: (server.address() as { port: number }).port, server, peers };
  }

  /** Sends frames as one message. */
  send(...frames: (readonly Uint8Array[])[]): void {
    this.socket.send(Buffer.concat(frames.flat()));
  }

  /** Waits until `count` frames of a kind have arrived; returns all frames of the kind. */
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
    // Both sides run in one process and share one clock, so that the echo is exact.
    const ack = encodeValue([heartbeatAckStep, nowMs, nowMs]);
    if (this.isDialer) this.send(encodeFrame(FrameKind.Heartbeat, 0, ack));
    else this.#sendHello();
  }
}

/** Creates the head of a test call; `overrides` replaces fields. */
export const makeCallOpen = (sequence: number, overrides: Partial<CallOpen> = {}): CallOpen => ({
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
  ...overrides,
});

/** Encodes the open frame of a test call that was written some time ago. */
export const encodeOpenFrame = (open: CallOpen, sentBeforeMs = 0): Uint8Array[] => {
  const payload = encodeOpen(open, monotonicNowMs() - sentBeforeMs);
  return encodeFrame(FrameKind.Open, open.attempt.sequence, payload);
};
