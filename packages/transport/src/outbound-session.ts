import type { WebSocket } from 'ws';
import { Connection, type ConnectionOwner, type PeerIdentity } from './connection.js';
import type { TransportCounters } from './counters.js';
import type { Exchange } from './exchange.js';
import { FrameKind } from './frames.js';
import type { TransportMechanisms } from './mechanisms.js';

/** What a session tells its link. */
export interface OutboundSessionOwner {
  onSessionReady(session: OutboundSession, peer: PeerIdentity): void;
  onSessionClosed(session: OutboundSession): void;
  onPeerDraining(peer: PeerIdentity): void;
  /** An answer came for an attempt that is over. */
  onLateAnswer(): void;
}

interface Entry {
  readonly exchange: Exchange;
  /** Batch that carries the first frame; handed over once `flushes` has passed it. */
  readonly batch: number;
}

/** Dialled side of one connection: matches each frame to the exchange that it belongs to. */
export class OutboundSession implements ConnectionOwner {
  readonly connection: Connection;

  readonly #entries = new Map<number, Entry>();

  constructor(
    socket: WebSocket,
    self: PeerIdentity,
    private readonly owner: OutboundSessionOwner,
    private readonly counters: TransportCounters,
    private readonly mechanisms: TransportMechanisms,
  ) {
    const clock = mechanisms.createClock();
    this.connection = new Connection(socket, self, true, this, counters, clock);
  }

  get size(): number {
    return this.#entries.size;
  }

  start(exchange: Exchange): void {
    this.#entries.set(exchange.sequence, { exchange, batch: this.connection.flushCount });
    exchange.start(this);
  }

  /** Ends an exchange; frames for it that still come are late. */
  finish(sequence: number): void {
    this.#entries.delete(sequence);
  }

  onReady(peer: PeerIdentity): void {
    this.owner.onSessionReady(this, peer);
  }

  onFrame(kind: FrameKind, id: number, payload: Buffer): void {
    if (kind === FrameKind.Draining) {
      if (this.connection.peer) this.owner.onPeerDraining(this.connection.peer);
      return;
    }
    const entry = this.mechanisms.matcher.match(id, this.#entries);
    if (entry) entry.exchange.onFrame(kind, payload);
    else if (kind !== FrameKind.Window) this.counters.lateFramesDropped += 1;
    if (!entry && kind === FrameKind.Answer) this.owner.onLateAnswer();
  }

  onClosed(): void {
    this.owner.onSessionClosed(this);
  }

  /** Ends every exchange of a closed connection; returns those that may start again. */
  endExchanges(): Exchange[] {
    const entries = [...this.#entries.values()];
    this.#entries.clear();
    return entries
      .filter(({ exchange, batch }) => exchange.onLost(this.connection.flushCount > batch))
      .map(({ exchange }) => exchange);
  }
}
