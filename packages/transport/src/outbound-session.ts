import type { WebSocket } from 'ws';
import { Connection, type ConnectionOwner, type PeerIdentity } from './connection.js';
import type { TransportCounters } from './counters.js';
import type { Exchange } from './exchange.js';
import { FrameKind } from './frames.js';
import type { TransportMechanisms } from './mechanisms.js';

/** Callbacks of a session to its link. */
export interface OutboundSessionOwner {
  onSessionReady(session: OutboundSession, peer: PeerIdentity): void;
  onSessionClosed(session: OutboundSession): void;
  onPeerDraining(peer: PeerIdentity): void;
  /** Called when an answer arrives for an attempt that has ended. */
  onLateAnswer(): void;
}

interface ExchangeEntry {
  readonly exchange: Exchange;
  /** Number of the batch with the first frame; it was flushed once `flushCount` is greater. */
  readonly batchNumber: number;
}

/** Dialling side of one connection: passes each frame to the exchange that it belongs to. */
export class OutboundSession implements ConnectionOwner {
  readonly connection: Connection;

  readonly #entries = new Map<number, ExchangeEntry>();

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

  get exchangeCount(): number {
    return this.#entries.size;
  }

  start(exchange: Exchange): void {
    this.#entries.set(exchange.sequence, { exchange, batchNumber: this.connection.flushCount });
    this.connection.isAnswerDue = true;
    exchange.start(this);
  }

  /** Removes an ended exchange; frames that still arrive for it are late. */
  removeExchange(sequence: number): void {
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
      .filter(({ exchange, batchNumber }) =>
        exchange.onLost(this.connection.flushCount > batchNumber),
      )
      .map(({ exchange }) => exchange);
  }
}
