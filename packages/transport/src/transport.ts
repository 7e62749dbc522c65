import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout } from 'node:timers/promises';
import { TransportError } from '@sequoiafield/errors';
import type { Logger } from '@sequoiafield/logger';
import { monotonicNowMs, type RandomSource, type System } from '@sequoiafield/tables';
import {
  RefusalOutcome,
  RefusalReason,
  type CallOpen,
  type CallReceiver,
  type CallResult,
  type CallSender,
  type CancelSignal,
  type LinkRequester,
  type LinkRequestKind,
  type MemberAnnouncement,
} from '@sequoiafield/types';
import { WebSocket, WebSocketServer } from 'ws';
import { AttemptSequence } from './attempt-sequence.js';
import type { PeerIdentity } from './connection.js';
import { TransportCounters } from './counters.js';
import { encodeFrame, FrameKind } from './frames.js';
import { InboundSession, type LinkRequestHandler } from './inbound-session.js';
import { LateAnswerLog } from './late-answer-log.js';
import { LinkMonitor } from './link-monitor.js';
import { defaultTransportLimits, messageMaxBytes, type TransportLimits } from './limits.js';
import { createTransportMechanisms, type TransportMechanisms } from './mechanisms.js';
import { OutboundAttempt } from './outbound-attempt.js';
import { OutboundLink, type LinkContext } from './outbound-link.js';
import { OutboundRequest } from './outbound-request.js';

/** How often `whenIdle` looks. */
const idlePollMs = 10;

/** What a transport needs. */
export interface TransportOptions {
  /** This node; `linkPort` 0 lets the system choose a port. */
  readonly self: MemberAnnouncement;
  readonly receiver: CallReceiver;
  readonly logger: Logger;
  readonly random: RandomSource;
  readonly limits?: Partial<TransportLimits>;
  /** Replaces single mechanisms; for tests. */
  readonly mechanisms?: Partial<TransportMechanisms>;
  /** A peer announced on a link that it drains. */
  readonly onPeerDraining?: (peer: PeerIdentity) => void;
}

/** Links of one node to its peers. */
export class Transport implements CallSender, LinkRequester {
  readonly counters = new TransportCounters();

  /** Numbers of attempts; shared with the call path, so that none is used twice. */
  readonly attemptSequence = new AttemptSequence();

  readonly systems: readonly System[];

  readonly #limits: TransportLimits;

  readonly #mechanisms: TransportMechanisms;

  readonly #links = new Map<string, OutboundLink>();

  readonly #accepted = new Set<InboundSession>();

  readonly #handlers = new Map<LinkRequestKind, LinkRequestHandler>();

  readonly #http: Server = createServer((_, response) => response.writeHead(426).end());

  readonly #linkContext: LinkContext;

  constructor(private readonly options: TransportOptions) {
    const { self, logger, random } = options;
    this.#limits = { ...defaultTransportLimits, ...options.limits };
    this.#mechanisms = { ...createTransportMechanisms(self.incarnation), ...options.mechanisms };
    const lateAnswers = new LateAnswerLog(logger);
    this.#linkContext = {
      self: { id: self.id, incarnation: self.incarnation },
      limits: this.#limits,
      counters: this.counters,
      mechanisms: this.#mechanisms,
      logger,
      random,
      dial: (member) => this.#dial(member),
      onPeerDraining: (peer) => this.#onPeerDraining(peer),
      lateAnswers,
    };
    const { attemptGuard: guard } = this.#mechanisms;
    this.systems = [new LinkMonitor(this.#links, this.#accepted, guard, this.#limits, lateAnswers)];
  }

  get sender(): CallSender {
    return this;
  }

  get requester(): LinkRequester {
    return this;
  }

  /** Port that `start` listens on. */
  get linkPort(): number {
    const address = this.#http.address() as AddressInfo | null;
    if (!address) throw new TransportError('The transport does not listen yet');
    return address.port;
  }

  /** Listens for links; rejects with a `TransportError` if the port is taken. */
  async start(): Promise<void> {
    const { address, linkPort } = this.options.self;
    const sockets = new WebSocketServer({
      server: this.#http,
      perMessageDeflate: false,
      maxPayload: messageMaxBytes,
    });
    sockets.on('connection', (socket) => this.#accept(socket));
    await new Promise<void>((resolve, reject) => {
      const fail = (cause: Error): void =>
        reject(new TransportError(`Cannot listen on ${address}:${linkPort}`, { cause }));
      sockets.once('error', fail);
      this.#http.listen(linkPort, address, () => {
        sockets.off('error', fail);
        sockets.on('error', () => undefined);
        resolve();
      });
    });
  }

  /** Calls and requests that are not finished yet, in both directions. */
  get runningCount(): number {
    let count = 0;
    for (const link of this.#links.values()) count += link.size;
    for (const session of this.#accepted) count += session.size;
    return count;
  }

  /** Resolves once nothing runs in either direction, or after `timeoutMs`. */
  async whenIdle(timeoutMs: number): Promise<void> {
    const untilMs = monotonicNowMs() + timeoutMs;
    while (this.runningCount > 0 && monotonicNowMs() < untilMs) await setTimeout(idlePollMs);
  }

  /** Closes every link; attempts that still run end as in doubt. */
  async stop(): Promise<void> {
    for (const link of this.#links.values()) link.close();
    this.#links.clear();
    for (const session of [...this.#accepted]) session.connection.close();
    this.#http.closeAllConnections();
    if (!this.#http.listening) return;
    await new Promise<void>((resolve) => {
      this.#http.close(() => resolve());
    });
  }

  /** Tells every connected peer that this node takes no new calls. */
  announceDraining(): void {
    const parts = encodeFrame(FrameKind.Draining, 0);
    for (const link of this.#links.values()) link.write(parts);
    for (const session of this.#accepted) session.connection.write(parts);
  }

  async send(
    member: MemberAnnouncement,
    open: CallOpen,
    body: AsyncIterable<Uint8Array> | Uint8Array | undefined,
    signal: CancelSignal,
  ): Promise<CallResult> {
    if (signal.aborted || open.deadlineAtMs <= monotonicNowMs()) {
      const reason = signal.aborted ? RefusalReason.Cancelled : RefusalReason.DeadlinePassed;
      const detail = 'the call was over before it was sent';
      return { kind: 'refusal', refusal: { outcome: RefusalOutcome.NotRun, reason, detail } };
    }
    const attempt = new OutboundAttempt(open, body, signal, {
      attemptSequence: this.attemptSequence,
      limits: this.#limits,
      counters: this.counters,
      mechanisms: this.#mechanisms,
    });
    const link = this.#linkTo(member);
    link.start(attempt);
    const result = await attempt.result;
    link.forget(attempt);
    return result;
  }

  async request(
    member: MemberAnnouncement,
    kind: LinkRequestKind,
    body: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    const request = new OutboundRequest(this.attemptSequence.next(), kind, body, timeoutMs);
    const link = this.#linkTo(member);
    link.start(request);
    try {
      return await request.response;
    } finally {
      link.forget(request);
    }
  }

  handle(kind: LinkRequestKind, handler: LinkRequestHandler): void {
    this.#handlers.set(kind, handler);
  }

  #linkTo(member: MemberAnnouncement): OutboundLink {
    // Calls that still run on an older incarnation keep their own link.
    const key = `${member.id} ${member.incarnation}`;
    const known = this.#links.get(key);
    if (known && !known.isClosed) return known;
    const link = new OutboundLink(member, this.#linkContext);
    this.#links.set(key, link);
    return link;
  }

  #dial(member: MemberAnnouncement): WebSocket {
    return new WebSocket(`ws://${member.address}:${member.linkPort}/`, {
      perMessageDeflate: false,
      maxPayload: messageMaxBytes,
      // Like gossip: a host with several addresses uses the one that its members row tells.
      localAddress: this.options.self.address,
      handshakeTimeout: this.#limits.dialTimeoutMs,
      followRedirects: false,
    });
  }

  #accept(socket: WebSocket): void {
    const { self } = this.options;
    const session: InboundSession = new InboundSession(socket, {
      self: { id: self.id, incarnation: self.incarnation },
      receiver: this.options.receiver,
      mechanisms: this.#mechanisms,
      limits: this.#limits,
      counters: this.counters,
      handlers: this.#handlers,
      onPeerDraining: (peer) => this.#onPeerDraining(peer),
      onSessionClosed: (closed) => this.#accepted.delete(closed),
    });
    this.#accepted.add(session);
  }

  #onPeerDraining(peer: PeerIdentity): void {
    this.options.onPeerDraining?.(peer);
  }
}

/**
 * Creates the links of a node.
 *
 * @example
 * const transport = createTransport({ self, receiver, logger, random });
 * await transport.start();
 * const result = await transport.sender.send(member, open, body, signal);
 */
export const createTransport = (options: TransportOptions): Transport => new Transport(options);
