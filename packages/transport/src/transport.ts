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

/** Interval at which `whenIdle` checks for running exchanges. */
const idlePollIntervalMs = 10;

/** Options of `createTransport`. */
export interface TransportOptions {
  /** This node; `linkPort` 0 lets the operating system choose a port. */
  readonly self: MemberAnnouncement;
  readonly receiver: CallReceiver;
  readonly logger: Logger;
  readonly random: RandomSource;
  readonly limits?: Partial<TransportLimits>;
  /** Mechanisms that tests replace. */
  readonly mechanisms?: Partial<TransportMechanisms>;
  /** Called when a peer announces on a link that it drains. */
  readonly onPeerDraining?: (peer: PeerIdentity) => void;
}

/** Links of one node to its peers. */
export class Transport implements CallSender, LinkRequester {
  readonly counters = new TransportCounters();

  /** Numbers the attempts; shared with the call path, so that no number is used twice. */
  readonly attemptSequence = new AttemptSequence();

  readonly systems: readonly System[];

  readonly #limits: TransportLimits;

  readonly #mechanisms: TransportMechanisms;

  readonly #links = new Map<string, OutboundLink>();

  readonly #acceptedSessions = new Set<InboundSession>();

  readonly #handlers = new Map<LinkRequestKind, LinkRequestHandler>();

  readonly #httpServer: Server = createServer((_, response) => response.writeHead(426).end());

  readonly #linkContext: LinkContext;

  constructor(private readonly options: TransportOptions) {
    const { self, logger, random } = options;
    this.#limits = { ...defaultTransportLimits, ...options.limits };
    this.#mechanisms = { ...createTransportMechanisms(self.incarnation), ...options.mechanisms };
    const lateAnswerLog = new LateAnswerLog(logger);
    this.#linkContext = {
      self: { id: self.id, incarnation: self.incarnation },
      limits: this.#limits,
      counters: this.counters,
      mechanisms: this.#mechanisms,
      logger,
      random,
      dial: (member) => this.#dial(member),
      onPeerDraining: (peer) => this.#onPeerDraining(peer),
      lateAnswerLog,
    };
    const { attemptGuard } = this.#mechanisms;
    this.systems = [
      new LinkMonitor(
        this.#links,
        this.#acceptedSessions,
        attemptGuard,
        this.#limits,
        lateAnswerLog,
      ),
    ];
  }

  get sender(): CallSender {
    return this;
  }

  get requester(): LinkRequester {
    return this;
  }

  /** Port that `start` listens on. */
  get linkPort(): number {
    const address = this.#httpServer.address() as AddressInfo | null;
    if (!address)
      throw new TransportError(
        'The transport is not listening; call start() before reading linkPort',
      );
    return address.port;
  }

  /** Listens for connections; rejects with a `TransportError` if the port is in use. */
  async start(): Promise<void> {
    const { address, linkPort } = this.options.self;
    const webSocketServer = new WebSocketServer({
      server: this.#httpServer,
      perMessageDeflate: false,
      maxPayload: messageMaxBytes,
    });
    webSocketServer.on('connection', (socket) => this.#accept(socket));
    await new Promise<void>((resolve, reject) => {
      const rejectStart = (cause: Error): void =>
        reject(new TransportError(`Cannot listen on ${address}:${linkPort}`, { cause }));
      webSocketServer.once('error', rejectStart);
      this.#httpServer.listen(linkPort, address, () => {
        webSocketServer.off('error', rejectStart);
        webSocketServer.on('error', () => undefined);
        resolve();
      });
    });
  }

  /** Number of unfinished outbound calls and requests and of unfinished inbound calls. */
  get runningCount(): number {
    let count = 0;
    for (const link of this.#links.values()) count += link.exchangeCount;
    for (const session of this.#acceptedSessions) count += session.attemptCount;
    return count;
  }

  /** Resolves once `runningCount` is 0, or after `timeoutMs`. */
  async whenIdle(timeoutMs: number): Promise<void> {
    const timeoutAtMs = monotonicNowMs() + timeoutMs;
    while (this.runningCount > 0 && monotonicNowMs() < timeoutAtMs)
      await setTimeout(idlePollIntervalMs);
  }

  /** Closes every link; the outcome of an attempt that still runs is unknown. */
  async stop(): Promise<void> {
    for (const link of this.#links.values()) link.close();
    this.#links.clear();
    for (const session of [...this.#acceptedSessions]) session.connection.close();
    this.#httpServer.closeAllConnections();
    if (!this.#httpServer.listening) return;
    await new Promise<void>((resolve) => {
      this.#httpServer.close(() => resolve());
    });
  }

  /** Announces to every connected peer that this node accepts no new calls. */
  announceDraining(): void {
    const frame = encodeFrame(FrameKind.Draining, 0);
    for (const link of this.#links.values()) link.write(frame);
    for (const session of this.#acceptedSessions) session.connection.write(frame);
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
    const link = this.#getLink(member);
    link.start(attempt);
    const result = await attempt.result;
    link.removeQueued(attempt);
    return result;
  }

  async request(
    member: MemberAnnouncement,
    kind: LinkRequestKind,
    body: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    const request = new OutboundRequest(this.attemptSequence.next(), kind, body, timeoutMs);
    const link = this.#getLink(member);
    link.start(request);
    try {
      return await request.response;
    } finally {
      link.removeQueued(request);
    }
  }

  handle(kind: LinkRequestKind, handler: LinkRequestHandler): void {
    this.#handlers.set(kind, handler);
  }

  #getLink(member: MemberAnnouncement): OutboundLink {
    // Calls that still run on an older incarnation use a link of their own.
    const key = `${member.id} ${member.incarnation}`;
    const existingLink = this.#links.get(key);
    if (existingLink && !existingLink.isClosed) return existingLink;
    const link = new OutboundLink(member, this.#linkContext);
    this.#links.set(key, link);
    return link;
  }

  #dial(member: MemberAnnouncement): WebSocket {
    return new WebSocket(`ws://${member.address}:${member.linkPort}/`, {
      perMessageDeflate: false,
      maxPayload: messageMaxBytes,
      // As for gossip, a host with several addresses uses the one in its members row.
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
      onSessionClosed: (closed) => this.#acceptedSessions.delete(closed),
    });
    this.#acceptedSessions.add(session);
  }

  #onPeerDraining(peer: PeerIdentity): void {
    this.options.onPeerDraining?.(peer);
  }
}

/**
 * Creates the transport of a node.
 *
 * @example
 * const transport = createTransport({ self, receiver, logger, random });
 * await transport.start();
 * const result = await transport.sender.send(member, open, body, signal);
 */
export const createTransport = (options: TransportOptions): Transport => new Transport(options);
