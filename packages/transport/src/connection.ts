import { monotonicNowMs } from '@sequoiafield/tables';
import { WebSocket } from 'ws';
import type { FrameSink } from './body-sender.js';
import { decodeValue, encodeValue } from './call-codec.js';
import type { TransportCounters } from './counters.js';
import { encodeFrame, FrameKind, readFrames } from './frames.js';
import type { PeerClock } from './link-clock.js';

/** Version of the frame protocol; nodes of different versions do not connect. */
export const protocolVersion = 2;

/** Identity of one end of a link. */
export interface PeerIdentity {
  readonly id: string;
  readonly incarnation: number;
}

/** Callbacks of a connection to its owner. */
export interface ConnectionOwner {
  /** Called when the hellos are exchanged. */
  onReady(peer: PeerIdentity): void;
  onFrame(kind: FrameKind, id: number, payload: Buffer): void;
  /** Called once; no frame follows. */
  onClosed(): void;
}

/** Steps of the echo exchange; each side samples the other's clock in one round trip. */
enum HeartbeatStep {
  Ping = 0,
  Pong = 1,
  Ack = 2,
}

/**
 * WebSocket connection between two nodes: exchanges hellos and heartbeats with clock echoes, and
 * batches the frames of one event loop turn into one message.
 */
export class Connection implements FrameSink {
  /** Time without a received message, added up per tick to exclude pauses of this process. */
  silentMs = 0;

  /** Whether a call was started after the last message; the call may have ended without an answer. */
  isAnswerDue = false;

  /** Number of batches handed to the socket so far. */
  flushCount = 0;

  #batchedBuffers: Uint8Array[] = [];

  #isFlushScheduled = false;

  #peer: PeerIdentity | undefined;

  #isClosed = false;

  constructor(
    private readonly socket: WebSocket,
    private readonly self: PeerIdentity,
    private readonly isDialer: boolean,
    private readonly owner: ConnectionOwner,
    private readonly counters: TransportCounters,
    readonly clock: PeerClock,
  ) {
    socket.on('message', (message: Buffer) => this.#onMessage(message));
    socket.on('open', () => this.#sendHello());
    socket.on('error', () => this.terminate());
    socket.on('close', () => this.#onClosed());
  }

  get isReady(): boolean {
    return this.#peer !== undefined && !this.#isClosed;
  }

  get peer(): PeerIdentity | undefined {
    return this.#peer;
  }

  /** Adds a frame to the batch of this event loop turn; drops it if the connection is closed. */
  write(buffers: readonly Uint8Array[]): void {
    if (this.#isClosed) return;
    for (const buffer of buffers) this.#batchedBuffers.push(buffer);
    this.counters.framesSent += 1;
    if (this.#isFlushScheduled) return;
    this.#isFlushScheduled = true;
    setImmediate(() => this.flush());
  }

  /** Hands the batch to the socket; a frame that is not handed over is certainly never written. */
  flush(): void {
    this.#isFlushScheduled = false;
    if (this.#isClosed || this.#batchedBuffers.length === 0) return;
    const buffers = this.#batchedBuffers;
    this.#batchedBuffers = [];
    if (this.socket.readyState !== WebSocket.OPEN) return;
    this.flushCount += 1;
    this.counters.messagesSent += 1;
    this.socket.send(buffers.length === 1 ? buffers[0]! : Buffer.concat(buffers));
  }

  ping(): void {
    this.#sendHeartbeat(HeartbeatStep.Ping, null);
  }

  /** Closes the connection at once; batched frames are discarded. */
  terminate(): void {
    this.socket.terminate();
    this.#onClosed();
  }

  /** Sends the batched frames and closes the connection. */
  close(): void {
    this.flush();
    this.socket.close();
    this.#onClosed();
  }

  #sendHello(): void {
    const { id, incarnation } = this.self;
    const hello = [protocolVersion, id, incarnation, monotonicNowMs()];
    this.write(encodeFrame(FrameKind.Hello, 0, encodeValue(hello)));
  }

  #sendHeartbeat(step: HeartbeatStep, echoMs: number | null): void {
    const payload = encodeValue([step, monotonicNowMs(), echoMs]);
    this.write(encodeFrame(FrameKind.Heartbeat, 0, payload));
  }

  #onMessage(message: Buffer): void {
    this.silentMs = 0;
    this.isAnswerDue = false;
    try {
      readFrames(message, (kind, id, payload) => this.#onFrame(kind, id, payload));
    } catch {
      // The frame boundaries after a malformed frame are unknown, so that nothing more can be read.
      this.terminate();
    }
  }

  #onFrame(kind: FrameKind, id: number, payload: Buffer): void {
    if (this.#isClosed) return;
    if (kind === FrameKind.Hello) this.#onHello(payload);
    else if (!this.#peer) this.terminate();
    else if (kind === FrameKind.Heartbeat) this.#onHeartbeat(payload);
    else this.owner.onFrame(kind, id, payload);
  }

  #onHello(payload: Buffer): void {
    const [version, id, incarnation, peerNowMs] = decodeValue(payload) as [
      number,
      string,
      number,
      number,
    ];
    if (version !== protocolVersion || this.#peer) {
      this.terminate();
      return;
    }
    this.#peer = { id, incarnation };
    // The acceptor samples the dialer's clock from this ack, which precedes the first open frame.
    if (this.isDialer) this.#sendHeartbeat(HeartbeatStep.Ack, peerNowMs);
    else this.#sendHello();
    this.owner.onReady(this.#peer);
  }

  #onHeartbeat(payload: Buffer): void {
    const [step, peerNowMs, echoMs] = decodeValue(payload) as [
      HeartbeatStep,
      number,
      number | null,
    ];
    const nowMs = monotonicNowMs();
    if (echoMs === null) this.clock.check(peerNowMs, nowMs);
    else this.clock.sample(echoMs, peerNowMs, nowMs);
    if (step === HeartbeatStep.Ping) this.#sendHeartbeat(HeartbeatStep.Pong, peerNowMs);
    else if (step === HeartbeatStep.Pong) this.#sendHeartbeat(HeartbeatStep.Ack, peerNowMs);
  }

  #onClosed(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#batchedBuffers = [];
    this.owner.onClosed();
  }
}
