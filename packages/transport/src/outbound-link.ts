import { logEvents, type Logger } from '@sequoiafield/logger';
import { monotonicNowMs, type RandomSource, type Tick } from '@sequoiafield/tables';
import { tickIntervalMs, type MemberAnnouncement } from '@sequoiafield/types';
import type { WebSocket } from 'ws';
import type { PeerIdentity } from './connection.js';
import type { TransportCounters } from './counters.js';
import type { Exchange } from './exchange.js';
import type { LateAnswerLog } from './late-answer-log.js';
import type { TransportLimits } from './limits.js';
import type { TransportMechanisms } from './mechanisms.js';
import { OutboundSession, type OutboundSessionOwner } from './outbound-session.js';

/** What the links of a transport share. */
export interface LinkContext {
  readonly self: PeerIdentity;
  readonly limits: TransportLimits;
  readonly counters: TransportCounters;
  readonly mechanisms: TransportMechanisms;
  readonly logger: Logger;
  readonly random: RandomSource;
  /** Opens a WebSocket to a member. */
  dial(member: MemberAnnouncement): WebSocket;
  onPeerDraining(peer: PeerIdentity): void;
  readonly lateAnswers: LateAnswerLog;
}

/**
 * Link to one incarnation of one member. It dials when it is needed, and it replaces a connection
 * that went silent only once a second connection has answered or failed to.
 */
export class OutboundLink implements OutboundSessionOwner {
  #active: OutboundSession | undefined;

  #candidate: OutboundSession | undefined;

  #candidateAtMs = 0;

  #isSuspect = false;

  #waiting: Exchange[] = [];

  #failures = 0;

  #nextDialAtMs = 0;

  #usedAtMs = monotonicNowMs();

  #pingedAtMs = -Infinity;

  #isClosed = false;

  constructor(
    readonly member: MemberAnnouncement,
    private readonly context: LinkContext,
  ) {}

  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** Exchanges that run or wait. */
  get size(): number {
    return this.#waiting.length + (this.#active?.size ?? 0);
  }

  /** Starts an exchange now, or as soon as a connection is proven. */
  start(exchange: Exchange): void {
    this.#usedAtMs = monotonicNowMs();
    if (this.#isClosed) exchange.onUnreachable('the link is closed', false);
    else if (this.#active && !this.#isSuspect) this.#active.start(exchange);
    else {
      this.#waiting.push(exchange);
      this.#dial();
    }
  }

  /** Writes a frame that belongs to no exchange, if a connection is open. */
  write(parts: readonly Uint8Array[]): void {
    this.#active?.connection.write(parts);
  }

  /** Removes an exchange that ended while it waited for a connection. */
  forget(exchange: Exchange): void {
    if (this.#waiting.length === 0) return;
    this.#waiting = this.#waiting.filter((other) => other !== exchange);
  }

  /** Heartbeats, stall detection, dial timeouts and dials after a backoff. */
  run(tick: Tick): void {
    const { limits } = this.context;
    const unusedMs = tick.nowMs - this.#usedAtMs;
    const isUsed = unusedMs < limits.idleAfterMs || (this.#active?.size ?? 0) > 0;
    if (this.#active) this.#watch(this.#active, tick, isUsed);
    if (this.#candidate && tick.nowMs - this.#candidateAtMs > limits.dialTimeoutMs) {
      this.#candidate.connection.terminate();
    } else if (!this.#active && isUsed && this.#failures > 0) this.#dial();
    if (!isUsed && unusedMs > limits.idleCloseMs) this.close();
  }

  /** Closes the link; what waits for it was not sent. */
  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    const active = this.#active;
    this.#candidate?.connection.terminate();
    active?.connection.close();
    this.#failWaiting('the link was closed', false);
  }

  onSessionReady(session: OutboundSession, peer: PeerIdentity): void {
    if (session !== this.#candidate) return;
    this.#candidate = undefined;
    if (peer.id !== this.member.id || peer.incarnation !== this.member.incarnation) {
      session.connection.terminate();
      this.#noteFailure();
      const detail = `member ${this.member.id} answered as ${peer.id} ${peer.incarnation}`;
      this.#failWaiting(detail, true);
      this.#retireSilent('another incarnation answered');
      return;
    }
    const silent = this.#active;
    this.#active = session;
    this.#isSuspect = false;
    this.#failures = 0;
    if (silent) this.#retire(silent, 'a second connection answered');
    const waiting = this.#waiting;
    this.#waiting = [];
    waiting.forEach((exchange) => session.start(exchange));
  }

  onSessionClosed(session: OutboundSession): void {
    if (session === this.#candidate) {
      this.#candidate = undefined;
      this.#noteFailure();
      this.#failWaiting('no connection could be made', false);
      this.#retireSilent('a second connection failed too');
    } else if (session === this.#active) {
      this.#active = undefined;
      this.#isSuspect = false;
      this.#retire(session, 'the connection closed');
    }
  }

  onPeerDraining(peer: PeerIdentity): void {
    this.context.onPeerDraining(peer);
  }

  onLateAnswer(): void {
    this.context.lateAnswers.countDropped(this.member.id);
  }

  #watch(active: OutboundSession, tick: Tick, isUsed: boolean): void {
    const { limits } = this.context;
    const { connection } = active;
    const intervalMs = isUsed ? limits.heartbeatMs : limits.idleHeartbeatMs;
    if (tick.nowMs - this.#pingedAtMs >= intervalMs) {
      this.#pingedAtMs = tick.nowMs;
      connection.ping();
    }
    if (!isUsed) connection.silentMs = 0;
    // A tick after a pause counts little: answers may wait unread in the socket.
    else connection.silentMs += Math.min(tick.elapsedMs, 2 * tickIntervalMs);
    if (connection.silentMs > limits.stallTimeoutMs) {
      this.#isSuspect = true;
      this.#dial();
    } else if (this.#isSuspect) {
      this.#isSuspect = false;
      const waiting = this.#waiting;
      this.#waiting = [];
      waiting.forEach((exchange) => active.start(exchange));
    }
  }

  #dial(): void {
    if (this.#candidate || this.#isClosed) return;
    const nowMs = monotonicNowMs();
    if (nowMs < this.#nextDialAtMs) {
      this.#failWaiting('the last dial failed and the backoff is not over', false);
      return;
    }
    this.#candidateAtMs = nowMs;
    const { self, counters, mechanisms } = this.context;
    const socket = this.context.dial(this.member);
    this.#candidate = new OutboundSession(socket, self, this, counters, mechanisms);
  }

  #noteFailure(): void {
    const { limits, random } = this.context;
    const capMs = Math.min(limits.backoffMaxMs, limits.backoffMinMs * 2 ** this.#failures);
    this.#failures += 1;
    // Jitter keeps nodes that lost one peer together from dialling it together.
    this.#nextDialAtMs = monotonicNowMs() + capMs * (0.5 + random.next() / 2);
  }

  #failWaiting(detail: string, isWrongIncarnation: boolean): void {
    const waiting = this.#waiting;
    this.#waiting = [];
    waiting.forEach((exchange) => exchange.onUnreachable(detail, isWrongIncarnation));
  }

  #retireSilent(why: string): void {
    const silent = this.#active;
    if (!silent || !this.#isSuspect) return;
    this.#active = undefined;
    this.#isSuspect = false;
    this.#retire(silent, why);
  }

  /** Ends a lost connection; what may run again moves to the next one. */
  #retire(session: OutboundSession, why: string): void {
    const { counters, logger } = this.context;
    if (session.connection.isReady) session.connection.terminate();
    const movable = session.endExchanges();
    if (!this.#isClosed) {
      counters.connectionsLost += 1;
      logger.log(logEvents.linkLost, { memberId: this.member.id, why, moved: movable.length });
    }
    movable.forEach((exchange) => this.start(exchange));
  }
}
