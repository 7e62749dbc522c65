import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { CallError } from '@sequoiafield/errors';
import { monotonicNowMs, type System } from '@sequoiafield/tables';
import {
  bodyMaxBytes,
  RefusalReason,
  type CallRefusal,
  type CallResult,
  type ClientLimits,
  type RouteMatch,
  RefusalOutcome,
} from '@sequoiafield/types';
import { fastify, type FastifyInstance } from 'fastify';
import { AnswerWriter } from './answer-writer.js';
import type { CallProxyOptions } from './call-proxy-options.js';
import { RetryingCall, type RoutedRequest } from './retrying-call.js';
import { CallScope } from './call-scope.js';
import type { CallCounters } from './call-counters.js';
import { DefaultCallProtocol, type CallProtocol } from './call-protocol.js';
import { forwardHeaders } from './headers.js';
import { pathOf, readDeadlineMs, readRequestId } from './inbound-request.js';
import { EventLoopLagMonitor } from './event-loop-lag-monitor.js';
import { createNotRunRefusal, toRefusalResult, httpStatusOf } from './refusals.js';
import { RequestBodyReader, type RequestBody } from './request-body.js';
import { SafeRetryPolicy, type RetryPolicy } from './retry-policy.js';
import { RunningCalls } from './running-calls.js';

/** Idle time after which a caller's connection is closed; longer than common client limits. */
const keepAliveTimeoutMs = 75_000;
/** How much later than callers may use an idle connection this side closes it. */
const idleCloseMarginMs = 1000;

/** Accepts calls over HTTP and carries each to a backend server and back. */
export class CallProxy {
  readonly counters: CallCounters;

  readonly #server: FastifyInstance;

  readonly #policy: RetryPolicy;

  readonly #running = new RunningCalls();

  readonly #lag = new EventLoopLagMonitor();

  /** Run each tick; without them the path works, but does not notice that the process is behind. */
  readonly systems: readonly System[] = [this.#lag];

  readonly #protocol: CallProtocol;

  #isDraining = false;

  #isClosing = false;

  #lastRequest = 0;

  constructor(private readonly options: CallProxyOptions) {
    this.counters = options.receiver.counters;
    this.#policy = options.retryPolicy ?? new SafeRetryPolicy();
    this.#protocol = options.protocol ?? new DefaultCallProtocol();
    this.#server = fastify({
      logger: false,
      keepAliveTimeout: keepAliveTimeoutMs,
      forceCloseConnections: 'idle',
      return503OnClosing: false,
      exposeHeadRoutes: false,
      frameworkErrors: (_error, request, reply) => {
        reply.hijack();
        this.#accept(request.raw, reply.raw);
      },
    });
    this.#addRoutes();
  }

  /** Port that `start` listens on. */
  get callPort(): number {
    const address = this.#server.server.address() as AddressInfo | null;
    if (!address) throw new CallError('The call path does not listen yet');
    return address.port;
  }

  /** Listens for callers; rejects with a `CallError` if the port is taken. */
  async start(): Promise<void> {
    const { address, callPort } = this.options.self;
    try {
      await this.#server.listen({ host: address, port: callPort });
    } catch (cause) {
      throw new CallError(`Cannot listen for calls on ${address}:${callPort}`, { cause });
    }
  }

  /**
   * Graceful shutdown: refuses new calls as not run, and resolves once every running call has ended on
   * the caller's and on the receiving side. Calls that the own backend server makes for a request that
   * it still runs are carried; without them that request would fail.
   */
  async drain(): Promise<void> {
    this.#isDraining = true;
    this.options.receiver.startDraining();
    while (this.#running.size > 0 || this.options.receiver.running.size > 0) {
      await Promise.all([this.#running.whenIdle(), this.options.receiver.running.whenIdle()]);
    }
    await this.#server.close();
  }

  /** Calls that run now. */
  get runningCount(): number {
    return this.#running.size;
  }

  /** Serves on, and asks each caller to use no connection of this node again. */
  startClosingConnections(): void {
    this.#isClosing = true;
  }

  /** Takes no new connections; requests on open ones go on. */
  stopListening(): void {
    this.#server.server.close();
  }

  /** Takes over limits of callers' connections that changed. */
  applyLimits(limits: ClientLimits): void {
    const { server } = this.#server;
    server.headersTimeout = limits.headerTimeoutMs;
    // A caller may use a connection again for most of the idle time, so that this side closes later.
    server.keepAliveTimeout = limits.idleTimeoutMs + idleCloseMarginMs;
  }

  /** Ends at once; running calls are cut. */
  async stop(): Promise<void> {
    this.#server.server.closeAllConnections();
    await this.#server.close();
  }

  #addRoutes(): void {
    const server = this.#server;
    server.removeAllContentTypeParsers();
    // Bodies are read by the call path, so that they pass through without being decoded.
    server.addContentTypeParser('*', (_request, _payload, done) => done(null));
    server.all('/*', (request, reply) => {
      reply.hijack();
      this.#accept(request.raw, reply.raw);
    });
    // Targets that the router of the HTTP framework cannot decode are matched here all the same.
    server.setNotFoundHandler((request, reply) => {
      reply.hijack();
      this.#accept(request.raw, reply.raw);
    });
  }

  #accept(request: IncomingMessage, response: ServerResponse): void {
    // Time in which the node waits for the close counts towards the deadline.
    const arrivedAtMs = monotonicNowMs();
    if (!this.#lag.isBehind(arrivedAtMs)) {
      this.#begin(request, response, arrivedAtMs);
      return;
    }
    // A caller that gave up meanwhile has closed its connection; that is read one turn of the loop after
    // the request.
    setImmediate(() => {
      setImmediate(() => {
        const { socket } = request;
        if (socket.readableEnded || socket.destroyed) response.destroy();
        else this.#begin(request, response, arrivedAtMs);
      });
    });
  }

  #begin(request: IncomingMessage, response: ServerResponse, arrivedAtMs: number): void {
    this.#handle(request, response, arrivedAtMs).catch(() => response.destroy());
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
    arrivedAtMs: number,
  ): Promise<void> {
    const requestId = readRequestId(request, this.#protocol) ?? this.#nextRequestId();
    const finish = this.#running.begin(requestId);
    const scope = new CallScope();
    response.on('close', () => {
      scope.end(response.writableFinished);
      finish();
    });
    const isClosing = (): boolean => this.#isClosing;
    const writer = new AnswerWriter(response, requestId, this.#protocol, isClosing);
    const result = await this.#carry(request, requestId, scope, arrivedAtMs);
    await this.#write(result, writer, !request.complete);
  }

  async #carry(
    request: IncomingMessage,
    requestId: string,
    scope: CallScope,
    arrivedAtMs: number,
  ): Promise<CallResult> {
    const method = request.method ?? 'GET';
    const path = request.url ?? '/';
    const host = request.headers.host ?? '';
    const match = this.options.router.match(method, pathOf(path), host);
    const refusal = this.#check(request, requestId, match);
    if (refusal) return toRefusalResult(refusal);
    if (!match)
      return toRefusalResult(
        createNotRunRefusal(RefusalReason.NoRoute, `no route for ${method} ${path}`),
      );
    const deadlineMs = readDeadlineMs(request, match.route.deadlineMs, this.#protocol);
    const deadlineAtMs = arrivedAtMs + deadlineMs;
    if (deadlineAtMs <= monotonicNowMs()) {
      return toRefusalResult(
        createNotRunRefusal(RefusalReason.DeadlinePassed, 'the caller waits no longer'),
      );
    }
    scope.startDeadline(deadlineAtMs);
    let body: RequestBody;
    try {
      body = await new RequestBodyReader(request, this.#bodyMaxBytes()).read(scope.signal);
    } catch {
      const detail = 'the request body did not arrive in time';
      return toRefusalResult(createNotRunRefusal(RefusalReason.DeadlinePassed, detail));
    }
    const headers = forwardHeaders(request.rawHeaders, this.#protocol.nodeOnlyRequestHeaders);
    const configVersion = this.options.snapshots.current()?.configVersion ?? 0;
    const call = { requestId, match, method, path, headers, body, configVersion, deadlineAtMs };
    this.counters.callsStarted += 1;
    const run = new RetryingCall(call, this.options, this.#policy, this.counters, scope.signal);
    const startedAtMs = monotonicNowMs();
    const result = await run.run();
    this.#reportEnd(call, run, result, monotonicNowMs() - startedAtMs);
    return result;
  }

  #reportEnd(call: RoutedRequest, run: RetryingCall, result: CallResult, tookMs: number): void {
    const refusal = result.kind === 'refusal' ? result.refusal : undefined;
    this.options.onEnded?.({
      requestId: call.requestId,
      route: call.match.route.name,
      service: call.match.service.name,
      status: result.kind === 'answer' ? result.answer.status : httpStatusOf(result.refusal),
      memberIds: run.memberIds,
      sentToServers: run.sentToServers,
      configVersion: call.configVersion,
      tookMs,
      refusal,
    });
  }

  #bodyMaxBytes(): number {
    return this.options.clientLimits?.()?.bodyMaxBytes ?? bodyMaxBytes;
  }

  #check(
    request: IncomingMessage,
    requestId: string,
    match: RouteMatch | undefined,
  ): CallRefusal | undefined {
    if (this.#isDraining && !this.options.receiver.running.has(requestId)) {
      return createNotRunRefusal(RefusalReason.Draining, 'the node is stopping');
    }
    if (!this.options.snapshots.isServing()) {
      return createNotRunRefusal(RefusalReason.NotReady, 'the node holds no current configuration');
    }
    if (match && Number(request.headers['content-length'] ?? 0) > this.#bodyMaxBytes()) {
      return createNotRunRefusal(
        RefusalReason.BodyTooLarge,
        `the body exceeds ${this.#bodyMaxBytes()} bytes`,
      );
    }
    return undefined;
  }

  async #write(result: CallResult, writer: AnswerWriter, isUnread: boolean): Promise<void> {
    if (result.kind === 'answer') {
      this.counters.callsAnswered += 1;
      if (!(await writer.writeAnswer(result.answer))) this.counters.answersCut += 1;
      return;
    }
    const { refusal } = result;
    if (refusal.outcome === RefusalOutcome.NotRun) this.counters.callsNotRun += 1;
    else this.counters.callsUnknown += 1;
    // A connection whose request body was not read to its end cannot carry another request.
    writer.writeRefusal(refusal, this.#isDraining || isUnread);
  }

  #nextRequestId(): string {
    this.#lastRequest += 1;
    const { id, incarnation } = this.options.self;
    return `${id}-${incarnation.toString(36)}-${this.#lastRequest.toString(36)}`;
  }
}

/**
 * Creates the call path of a node.
 *
 * @example
 * const receiver = new BackendCallReceiver({ self, rollout, admission, evidence, backend });
 * const transport = createTransport({ self, receiver, logger, random });
 * const calls = createCallProxy({
 *   self, snapshots, router, rollout, evidence, receiver, logger, random,
 *   sender: transport.sender, sequence: transport.sequence,
 * });
 * await calls.start();
 */
export const createCallProxy = (options: CallProxyOptions): CallProxy => new CallProxy(options);
