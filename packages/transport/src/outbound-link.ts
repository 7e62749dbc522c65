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

/** Dependencies shared by the links of a transport. */
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
  readonly lateAnswerLog: LateAnswerLog;
}

/**
 * Link to one incarnation of one member. It dials on demand, and it replaces a silent connection
 * only after a second connection has been established or has failed.
 */
export class OutboundLink implements OutboundSessionOwner {
  #activeSession: OutboundSession | undefined;

  #candidateSession: OutboundSession | undefined;

  #dialStartedAtMs = 0;

  #isSuspect = false;

  #queue: Exchange[] = [];

  #dialFailureCount = 0;

  #nextDialAtMs = 0;

  #lastUsedAtMs = monotonicNowMs();

  #lastPingAtMs = -Infinity;

  #isClosed = false;

  constructor(
    readonly member: MemberAnnouncement,
    private readonly context: LinkContext,
  ) {}

  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** Number of running and queued exchanges. */
  get exchangeCount(): number {
    return this.#queue.length + (this.#activeSession?.exchangeCount ?? 0);
  }

  /** Starts an exchange now, or queues it until a connection is established or works again. */
  start(exchange: Exchange): void {
    this.#lastUsedAtMs = monotonicNowMs();
    if (this.#isClosed) exchange.onUnreachable('the link is closed', false);
    else if (this.#activeSession && !this.#isSuspect) this.#activeSession.start(exchange);
    else {
      this.#queue.push(exchange);
      this.#dial();
    }
  }

  /** Writes a frame that belongs to no exchange, if there is a connection. */
  write(buffers: readonly Uint8Array[]): void {
    this.#activeSession?.connection.write(buffers);
  }

  /** Removes an exchange that ended while it was queued. */
  removeQueued(exchange: Exchange): void {
    if (this.#queue.length === 0) return;
    this.#queue = this.#queue.filter((other) => other !== exchange);
  }

  /** Runs heartbeats, stall detection, dial timeouts and dials after a backoff. */
  run(tick: Tick): void {
    const { limits } = this.context;
    const unusedMs = tick.nowMs - this.#lastUsedAtMs;
    const isUsed = unusedMs < limits.idleAfterMs || (this.#activeSession?.exchangeCount ?? 0) > 0;
    if (this.#activeSession) this.#checkActiveSession(this.#activeSession, tick);
    if (this.#candidateSession && tick.nowMs - this.#dialStartedAtMs > limits.dialTimeoutMs) {
      this.#candidateSession.connection.terminate();
    } else if (!this.#activeSession && isUsed && this.#dialFailureCount > 0) this.#dial();
    if (!isUsed && unusedMs > limits.idleCloseMs) this.close();
  }

  /** Closes the link; queued exchanges fail without being sent. */
  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    const activeSession = this.#activeSession;
    this.#candidateSession?.connection.terminate();
    activeSession?.connection.close();
    this.#failQueued('the link was closed', false);
  }

  onSessionReady(session: OutboundSession, peer: PeerIdentity): void {
    if (session !== this.#candidateSession) return;
    this.#candidateSession = undefined;
    if (peer.id !== this.member.id || peer.incarnation !== this.member.incarnation) {
      session.connection.terminate();
      this.#recordDialFailure();
      const detail = `member ${this.member.id} answered as ${peer.id} ${peer.incarnation}`;
      this.#failQueued(detail, true);
      this.#endSuspectSession('another incarnation answered');
      return;
    }
    const silentSession = this.#activeSession;
    this.#activeSession = session;
    this.#isSuspect = false;
    this.#dialFailureCount = 0;
    if (silentSession) this.#endSession(silentSession, 'a second connection answered');
    const queuedExchanges = this.#queue;
    this.#queue = [];
    queuedExchanges.forEach((exchange) => session.start(exchange));
  }

  onSessionClosed(session: OutboundSession): void {
    if (session === this.#candidateSession) {
      this.#candidateSession = undefined;
      this.#recordDialFailure();
      this.#failQueued('no connection could be made', false);
      this.#endSuspectSession('a second connection failed too');
    } else if (session === this.#activeSession) {
      this.#activeSession = undefined;
      this.#isSuspect = false;
      this.#endSession(session, 'the connection closed');
    }
  }

  onPeerDraining(peer: PeerIdentity): void {
    this.context.onPeerDraining(peer);
  }

  onLateAnswer(): void {
    this.context.lateAnswerLog.countDropped(this.member.id);
  }

  /**
   * Pings a link with running exchanges that has been silent, and suspects it if no message follows. An
   * exchange that ended without an answer counts until the next message, because calls with deadlines
   * shorter than the stall timeout would otherwise all end on a silent link. Other links carry no
   * heartbeats, whose number would grow with the peers of a node.
   */
  #checkActiveSession(activeSession: OutboundSession, tick: Tick): void {
    const { limits } = this.context;
    const { connection } = activeSession;
    if (activeSession.exchangeCount === 0 && !connection.isAnswerDue) connection.silentMs = 0;
    // The time of a tick is capped, since messages may be unread in the socket after a pause.
    else connection.silentMs += Math.min(tick.elapsedMs, 2 * tickIntervalMs);
    const isPingDue = tick.nowMs - this.#lastPingAtMs >= limits.heartbeatMs;
    if (connection.silentMs >= limits.heartbeatMs && isPingDue) {
      this.#lastPingAtMs = tick.nowMs;
      connection.ping();
    }
    if (connection.silentMs > limits.stallTimeoutMs) {
      this.#isSuspect = true;
      this.#dial();
    } else if (this.#isSuspect) {
      this.#isSuspect = false;
      const queuedExchanges = this.#queue;
      this.#queue = [];
      queuedExchanges.forEach((exchange) => activeSession.start(exchange));
    }
  }

  #dial(): void {
    if (this.#candidateSession || this.#isClosed) return;
    const nowMs = monotonicNowMs();
    if (nowMs < this.#nextDialAtMs) {
      this.#failQueued('the last dial failed and the backoff is not over', false);
      return;
    }
    this.#dialStartedAtMs = nowMs;
    const { self, counters, mechanisms } = this.context;
    let socket: WebSocket;
    try {
      socket = this.context.dial(this.member);
    } catch (error) {
      // An address that cannot be dialled, as one in a malformed entry, costs only the calls to it.
      this.#recordDialFailure();
      this.#failQueued(`the address cannot be dialled: ${String(error)}`, false);
      return;
    }
    this.#candidateSession = new OutboundSession(socket, self, this, counters, mechanisms);
  }

  #recordDialFailure(): void {
    const { limits, random } = this.context;
    const backoffMs = Math.min(
      limits.backoffMaxMs,
      limits.backoffMinMs * 2 ** this.#dialFailureCount,
    );
    this.#dialFailureCount += 1;
    // Jitter prevents nodes that lost a peer together from redialling it simultaneously.
    this.#nextDialAtMs = monotonicNowMs() + backoffMs * (0.5 + random.next() / 2);
  }

  #failQueued(detail: string, isWrongIncarnation: boolean): void {
    const queuedExchanges = this.#queue;
    this.#queue = [];
    queuedExchanges.forEach((exchange) => exchange.onUnreachable(detail, isWrongIncarnation));
  }

  #endSuspectSession(why: string): void {
    const silentSession = this.#activeSession;
    if (!silentSession || !this.#isSuspect) return;
    this.#activeSession = undefined;
    this.#isSuspect = false;
    this.#endSession(silentSession, why);
  }

  /** Ends a lost connection and starts its exchanges that may be sent again on the next one. */
  #endSession(session: OutboundSession, why: string): void {
    const { counters, logger } = this.context;
    if (session.connection.isReady) session.connection.terminate();
    const resendable = session.endExchanges();
    if (!this.#isClosed) {
      counters.connectionsLost += 1;
      logger.log(logEvents.linkLost, { memberId: this.member.id, why, moved: resendable.length });
    }
    resendable.forEach((exchange) => this.start(exchange));
  }
}
