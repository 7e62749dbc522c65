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

/** Answers requests of one kind. */
export type LinkRequestHandler = (body: unknown, fromId: string) => unknown | Promise<unknown>;

/** What accepted connections share. */
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

/** Accepted side of one connection: starts the calls that arrive and answers requests. */
export class InboundSession implements ConnectionOwner {
  readonly connection: Connection;

  readonly #calls = new Map<number, InboundAttempt>();

  constructor(
    socket: WebSocket,
    private readonly context: InboundContext,
  ) {
    const { self, counters, mechanisms } = context;
    const clock = mechanisms.createClock();
    this.connection = new Connection(socket, self, false, this, counters, clock);
  }

  /** Calls whose answer is not sent to its end yet. */
  get size(): number {
    return this.#calls.size;
  }

  onReady(): void {
    // The first open frame follows the dialer's ack.
  }

  onFrame(kind: FrameKind, id: number, payload: Buffer): void {
    if (kind === FrameKind.Open) this.#onOpen(id, payload);
    else if (kind === FrameKind.Request) this.#onRequest(id, payload);
    else if (kind === FrameKind.Draining) this.#onDraining();
    else this.#calls.get(id)?.onFrame(kind, payload);
  }

  onClosed(): void {
    for (const call of this.#calls.values()) call.abort('The link was lost');
    this.context.onSessionClosed(this);
  }

  #onDraining(): void {
    if (this.connection.peer) this.context.onPeerDraining(this.connection.peer);
  }

  #onOpen(sequence: number, payload: Buffer): void {
    const sent = decodeOpen(sequence, payload);
    const verdict = this.#check(sent);
    if (verdict === AttemptCheckResult.Duplicate) {
      // No refusal: "not run" would be false, since the first copy may be running.
      this.context.counters.duplicateOpensDropped += 1;
      return;
    }
    if (verdict !== AttemptCheckResult.Fresh) {
      this.#refuse(sequence, refusalReasons[verdict] ?? RefusalReason.NotReady, verdict);
      return;
    }
    const deadlineAtMs = this.connection.clock.toLocalMs(sent.deadlineAtMs) ?? 0;
    const call = new InboundAttempt(
      { ...sent, deadlineAtMs },
      this.connection,
      this.context.limits,
      this.context.mechanisms.bodyCheck,
      (over) => this.#calls.delete(over),
    );
    this.#calls.set(sequence, call);
    call.run(this.context.receiver).catch(() => this.connection.terminate());
  }

  #check(open: CallOpen): AttemptCheckResult {
    const { peer, clock } = this.connection;
    const { attempt } = open;
    const isFromPeer =
      attempt.senderId === peer?.id && attempt.senderIncarnation === peer.incarnation;
    if (!isFromPeer) return AttemptCheckResult.WrongIncarnation;
    const deadlineAtMs = clock.toLocalMs(open.deadlineAtMs);
    // Without a clock sample a late frame could not be told from one in time.
    if (deadlineAtMs === undefined) return AttemptCheckResult.DeadlinePassed;
    return this.context.mechanisms.attemptGuard.check(attempt, deadlineAtMs, monotonicNowMs());
  }

  #refuse(sequence: number, reason: RefusalReason, detail: string): void {
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
    this.#handle(kind, body).then(
      (value) => respond(true, value),
      (error: unknown) => respond(false, error instanceof Error ? error.message : String(error)),
    );
  }

  async #handle(kind: LinkRequestKind, body: unknown): Promise<unknown> {
    const handler = this.context.handlers.get(kind);
    if (!handler) throw new TransportError(`No handler is registered for requests of kind ${kind}`);
    return handler(body, this.connection.peer?.id ?? '');
  }
}
