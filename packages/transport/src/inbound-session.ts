import { TransportError } from '@sequoiafield/errors';
import { monotonicNowMs } from '@sequoiafield/tables';
import {
  RefusalOutcome,
  RefusalReason,
  type CallOpen,
  type CallReceiver,
  type LinkRequestKind,
} from '@sequoiafield/types';
import type { WebSocket } from 'ws';
import { AttemptCheckResult } from './attempt-guard.js';
import { decodeOpen, decodeValue, encodeRefusal, encodeValue } from './call-codec.js';
import { Connection, type ConnectionOwner, type PeerIdentity } from './connection.js';
import type { TransportCounters } from './counters.js';
import { encodeFrame, FrameKind } from './frames.js';
import { InboundAttempt } from './inbound-attempt.js';
import type { TransportLimits } from './limits.js';
import type { TransportMechanisms } from './mechanisms.js';

/**
 * Transit time of an open frame above which the clock sample is taken for wrong: the clock of a
 * suspended sender stands still, so that its frames seem to be sent too early.
 */
const transitMaxMs = 1000;

/** Transit time of an open frame above which frames behind it are read before its call starts. */
const transitLateMs = 150;

/** Handles the requests of one kind and returns the body of the response. */
export type LinkRequestHandler = (body: unknown, fromId: string) => unknown | Promise<unknown>;

/** Dependencies shared by the accepted connections of a transport. */
export interface InboundContext {
  readonly self: PeerIdentity;
  readonly receiver: CallReceiver;
  readonly mechanisms: TransportMechanisms;
  readonly limits: TransportLimits;
  readonly counters: TransportCounters;
  readonly handlers: ReadonlyMap<LinkRequestKind, LinkRequestHandler>;
  onPeerDraining(peer: PeerIdentity): void;
  onSessionClosed(session: InboundSession): void;
}

const refusalReasons: Partial<Record<AttemptCheckResult, RefusalReason>> = {
  [AttemptCheckResult.WrongIncarnation]: RefusalReason.WrongIncarnation,
  [AttemptCheckResult.DeadlinePassed]: RefusalReason.DeadlinePassed,
  [AttemptCheckResult.DeadlineTooFar]: RefusalReason.DeadlineUnreachable,
};

/** Accepting side of one connection: starts the calls that arrive and answers requests. */
export class InboundSession implements ConnectionOwner {
  readonly connection: Connection;

  readonly #attempts = new Map<number, InboundAttempt>();

  constructor(
    socket: WebSocket,
    private readonly context: InboundContext,
  ) {
    const { self, counters, mechanisms } = context;
    const clock = mechanisms.createClock();
    this.connection = new Connection(socket, self, false, this, counters, clock);
  }

  /** Number of calls whose answer has not been sent completely. */
  get attemptCount(): number {
    return this.#attempts.size;
  }

  onReady(): void {
    // There is nothing to start: the dialer sends its ack and then its first open frame.
  }

  onFrame(kind: FrameKind, id: number, payload: Buffer): void {
    if (kind === FrameKind.Open) this.#onOpen(id, payload);
    else if (kind === FrameKind.Request) this.#onRequest(id, payload);
    else if (kind === FrameKind.Draining) this.#onDraining();
    else this.#attempts.get(id)?.onFrame(kind, payload);
  }

  onClosed(): void {
    for (const attempt of this.#attempts.values()) attempt.abort('The link was lost');
    this.context.onSessionClosed(this);
  }

  #onDraining(): void {
    if (this.connection.peer) this.context.onPeerDraining(this.connection.peer);
  }

  #onOpen(sequence: number, payload: Buffer): void {
    const { open: receivedOpen, sentAtMs } = decodeOpen(sequence, payload);
    // Shows whether a clock stopped since the last sample, as the clock of a suspended machine does.
    if (sentAtMs !== undefined) this.connection.clock.check(sentAtMs, monotonicNowMs());
    const checkResult = this.#checkAttempt(receivedOpen, sentAtMs);
    if (checkResult === AttemptCheckResult.Duplicate) {
      // A refusal "not run" would be wrong, since the first copy may be running.
      this.context.counters.duplicateOpensDropped += 1;
      return;
    }
    if (checkResult !== AttemptCheckResult.Fresh) {
      this.#sendRefusal(
        sequence,
        refusalReasons[checkResult] ?? RefusalReason.NotReady,
        checkResult,
      );
      return;
    }
    const attempt = new InboundAttempt(
      this.#toLocalTimes(receivedOpen),
      this.connection,
      this.context.limits,
      this.context.mechanisms,
      (endedSequence) => this.#attempts.delete(endedSequence),
    );
    this.#attempts.set(sequence, attempt);
    const start = (): void => {
      attempt.run(this.context.receiver).catch(() => this.connection.terminate());
    };
    if (this.#isLate(sentAtMs)) setImmediate(() => setImmediate(start));
    else start();
  }

  #toLocalTimes(open: CallOpen): CallOpen {
    const { clock } = this.connection;
    const deadlineAtMs = clock.toLocalMs(open.deadlineAtMs) ?? 0;
    if (open.answerDueAtMs === undefined) return { ...open, deadlineAtMs };
    return { ...open, deadlineAtMs, answerDueAtMs: clock.toLocalMs(open.answerDueAtMs) ?? 0 };
  }

  /**
   * Whether an open frame has waited unread for so long that its caller may have left meanwhile. The
   * cancel then waits behind it, and is read one turn of the event loop later.
   */
  #isLate(sentAtMs: number | undefined): boolean {
    if (sentAtMs === undefined) return false;
    const sentAtLocalMs = this.connection.clock.toLocalMs(sentAtMs) ?? 0;
    return monotonicNowMs() - sentAtLocalMs > transitLateMs;
  }

  #checkAttempt(open: CallOpen, sentAtMs: number | undefined): AttemptCheckResult {
    const { peer, clock } = this.connection;
    const nowMs = monotonicNowMs();
    const { attempt } = open;
    const isFromPeer =
      attempt.senderId === peer?.id && attempt.senderIncarnation === peer.incarnation;
    if (!isFromPeer) return AttemptCheckResult.WrongIncarnation;
    const deadlineAtMs = clock.toLocalMs(open.deadlineAtMs);
    // Without a clock sample a late frame cannot be distinguished from one that is in time.
    const sentAtLocalMs = sentAtMs === undefined ? nowMs : clock.toLocalMs(sentAtMs);
    const isClockWrong = sentAtLocalMs === undefined || nowMs - sentAtLocalMs > transitMaxMs;
    if (deadlineAtMs === undefined || isClockWrong) {
      this.connection.ping();
      return AttemptCheckResult.ClockUnknown;
    }
    return this.context.mechanisms.attemptGuard.check(attempt, deadlineAtMs, nowMs);
  }

  #sendRefusal(sequence: number, reason: RefusalReason, detail: string): void {
    this.context.counters.opensRefused += 1;
    const refusal = { outcome: RefusalOutcome.NotRun, reason, detail };
    this.connection.write(encodeFrame(FrameKind.Refuse, sequence, encodeRefusal(refusal)));
  }

  #onRequest(id: number, payload: Buffer): void {
    const [kind, body] = decodeValue(payload) as [LinkRequestKind, unknown];
    const respond = (isAnswered: boolean, value: unknown): void =>
      this.connection.write(
        encodeFrame(FrameKind.Response, id, encodeValue([isAnswered, value ?? null])),
      );
    this.#handleRequest(kind, body).then(
      (value) => respond(true, value),
      (error: unknown) => respond(false, error instanceof Error ? error.message : String(error)),
    );
  }

  async #handleRequest(kind: LinkRequestKind, body: unknown): Promise<unknown> {
    const handler = this.context.handlers.get(kind);
    if (!handler) throw new TransportError(`No handler is registered for requests of kind ${kind}`);
    return handler(body, this.connection.peer?.id ?? '');
  }
}
