import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { CallError } from '@sequoiafield/errors';
import { monotonicNowMs, type System } from '@sequoiafield/tables';
import {
  RefusalReason,
  type CallRefusal,
  type CallResult,
  type ClientLimits,
  RefusalOutcome,
} from '@sequoiafield/types';
import { fastify, type FastifyInstance } from 'fastify';
import { AnswerDueTimes } from './answer-due-times.js';
import { AnswerWriter } from './answer-writer.js';
import { ArrivalCheck } from './arrival-check.js';
import type { CallProxyOptions } from './call-proxy-options.js';
import type { RoutedRequest } from './create-open.js';
import { RetryingCall } from './retrying-call.js';
import { CallScope } from './call-scope.js';
import type { CallCounters } from './call-counters.js';
import { summarizeCall } from './call-summary.js';
import { DefaultCallProtocol, type CallProtocol } from './call-protocol.js';
import { closeWhenQuiet } from './close-when-quiet.js';
import { createBodyMemory, type BodyMemory } from './body-memory.js';
import { addLength, forwardHeaders } from './headers.js';
import { mayRunTwice, pathOf, readDeadlineMs, readRequestId } from './inbound-request.js';
import { discardBody, InboundBodies } from './inbound-bodies.js';
import { LateRequestGuard } from './late-request-guard.js';
import { PipelinedRequests } from './pipelined-requests.js';
import { createNotRunRefusal, toRefusalResult } from './refusals.js';
import { SafeRetryPolicy, type RetryPolicy } from './retry-policy.js';
import { RunningCalls } from './running-calls.js';

/** Idle time after which a caller's connection is closed; longer than common client limits. */
const keepAliveTimeoutMs = 75_000;
/** Time by which this side closes an idle connection later than callers may reuse it. */
const idleCloseMarginMs = 1000;

/**
 * Accepts calls over HTTP, forwards each to a backend server and writes the result to the caller.
 */
export class CallProxy {
  readonly counters: CallCounters;

  readonly #server: FastifyInstance;

  readonly #retryPolicy: RetryPolicy;

  readonly #runningCalls = new RunningCalls();

  readonly #lateRequestGuard: LateRequestGuard;

  /**
   * Systems to run each tick; without them calls work, but a lagging event loop is not detected.
   */
  readonly systems: readonly System[];

  readonly #protocol: CallProtocol;

  readonly #bodyMemory: BodyMemory;

  readonly #inboundBodies: InboundBodies;

  #isDraining = false;

  #isClosing = false;

  readonly #arrivalCheck: ArrivalCheck;

  readonly #answerDueTimes: AnswerDueTimes;

  /** Order and bounds of the requests of each connection. */
  readonly pipelinedRequests = new PipelinedRequests(() => this.#isClosing || this.#isDraining);

  #requestCount = 0;

  constructor(private readonly options: CallProxyOptions) {
    this.counters = options.receiver.counters;
    this.#retryPolicy = options.retryPolicy ?? new SafeRetryPolicy();
    this.#bodyMemory = options.bodyMemory ?? createBodyMemory();
    this.#inboundBodies = new InboundBodies(this.#bodyMemory, options.random);
    this.#protocol = options.protocol ?? new DefaultCallProtocol();
    this.#answerDueTimes = new AnswerDueTimes(this.#protocol);
    this.#server = fastify({
      logger: false,
      keepAliveTimeout: keepAliveTimeoutMs,
      forceCloseConnections: 'idle',
      return503OnClosing: false,
      exposeHeadRoutes: false,
      clientErrorHandler: (error, socket) =>
        this.pipelinedRequests.onMalformedRequest(error, socket),
      frameworkErrors: (_error, request, reply) => {
        reply.hijack();
        this.#accept(request.raw, reply.raw);
      },
    });
    this.#arrivalCheck = new ArrivalCheck(options, this.#protocol);
    this.#lateRequestGuard = new LateRequestGuard(this.counters, options.logger);
    this.#lateRequestGuard.watch(this.#server.server);
    this.systems = this.#lateRequestGuard.systems;
    this.#addRoutes();
  }

  /** Port that `start` listens on; throws a `CallError` while the proxy is not listening. */
  get callPort(): number {
    const address = this.#server.server.address() as AddressInfo | null;
    if (!address) throw new CallError('The call proxy is not listening, so it has no call port');
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
   * Shuts down gracefully: refuses new calls as not run, and resolves once every running call has
   * ended on the calling and on the receiving side. Calls that this node's backend server makes for
   * a request that it is still running are forwarded, since that request would fail without them.
   */
  async drain(): Promise<void> {
    this.#isDraining = true;
    this.options.receiver.startDraining();
    while (this.#runningCalls.size > 0 || this.options.receiver.running.size > 0) {
      await Promise.all([this.#runningCalls.whenIdle(), this.options.receiver.running.whenIdle()]);
    }
    await this.#server.close();
  }

  /** Number of running calls. */
  get runningCount(): number {
    return this.#runningCalls.size;
  }

  /**
   * Continues to serve, and asks callers with `connection: close` not to reuse their connections.
   */
  startClosingConnections(): void {
    this.#isClosing = true;
  }

  /**
   * Refuses new calls as not run that may still be running at `endsAtMs`, when this node ends. Short
   * idempotent calls continue to be served, since the own backend server makes them for its last runs.
   */
  refuseCallsBeyond(endsAtMs: number): void {
    this.#arrivalCheck.endsAtMs = endsAtMs;
  }

  /** Accepts no new connections; requests on open connections continue. */
  stopListening(): void {
    closeWhenQuiet(this.#server.server);
  }

  /** Applies changed limits of callers' connections. */
  applyLimits(limits: ClientLimits): void {
    const { server } = this.#server;
    server.headersTimeout = limits.headerTimeoutMs;
    // Callers may reuse a connection up to the idle timeout, so this side must close it later.
    server.keepAliveTimeout = limits.idleTimeoutMs + idleCloseMarginMs;
  }

  /** Stops at once and closes the connections of running calls. */
  async stop(): Promise<void> {
    this.#server.server.closeAllConnections();
    await this.#server.close();
  }

  #addRoutes(): void {
    const server = this.#server;
    server.removeAllContentTypeParsers();
    // `RequestBodyReader` reads the bodies, so that they are forwarded without being decoded.
    server.addContentTypeParser('*', (_request, _payload, done) => done(null));
    server.all('/*', (request, reply) => {
      reply.hijack();
      this.#accept(request.raw, reply.raw);
    });
    // Request targets that the router of the HTTP framework cannot decode are still matched here.
    server.setNotFoundHandler((request, reply) => {
      reply.hijack();
      this.#accept(request.raw, reply.raw);
    });
  }

  #accept(request: IncomingMessage, response: ServerResponse): void {
    // A wait for a close of the caller counts towards the deadline.
    const arrivedAtMs = monotonicNowMs();
    this.pipelinedRequests.accept({
      request,
      response,
      isIdempotent: () => mayRunTwice(request, this.options.router),
      start: (hasWaitedUnread) => this.#start(request, response, arrivedAtMs, hasWaitedUnread),
    });
  }

  #start(
    request: IncomingMessage,
    response: ServerResponse,
    arrivedAtMs: number,
    hasWaitedUnread: boolean,
  ): void {
    const requestId = readRequestId(request, this.#protocol) ?? this.#nextRequestId();
    response.on('close', this.#runningCalls.begin(requestId));
    const abandon = (): void => {
      response.destroy();
    };
    const start = (): void => {
      this.#handle(request, response, requestId, arrivedAtMs).catch(abandon);
    };
    this.#lateRequestGuard.check(request, hasWaitedUnread, start, abandon);
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
    requestId: string,
    arrivedAtMs: number,
  ): Promise<void> {
    const scope = new CallScope();
    response.on('close', () => scope.end(response.writableFinished));
    const isClosing = (): boolean =>
      this.#isClosing || this.pipelinedRequests.isLast(request, response);
    const writer = new AnswerWriter(
      response,
      requestId,
      this.#protocol,
      isClosing,
      this.#bodyMemory.node,
    );
    const result = await this.#runCall(request, requestId, scope, arrivedAtMs);
    const isRefused = result.kind === 'refusal' && !scope.signal.aborted;
    if (isRefused && this.#arrivalCheck.isBodyUnread(request)) await discardBody(request);
    await this.#writeResult(result, writer, !request.complete);
  }

  async #runCall(
    request: IncomingMessage,
    requestId: string,
    scope: CallScope,
    arrivedAtMs: number,
  ): Promise<CallResult> {
    const method = request.method ?? 'GET';
    const path = request.url ?? '/';
    const host = request.headers.host ?? '';
    const match = this.options.router.match(method, pathOf(path), host);
    const refusal = this.#checkOnArrival(requestId);
    if (refusal) return toRefusalResult(refusal);
    if (!match) return toRefusalResult(this.#arrivalCheck.refuseWithoutRoute(method, path));
    const { account, refusal: keyRefusal } = this.#arrivalCheck.checkKey(request, match.route);
    const requestRefusal = keyRefusal ?? this.#arrivalCheck.checkBodyLength(request);
    if (requestRefusal) return toRefusalResult(requestRefusal);
    const deadlineMs = readDeadlineMs(request, match.route.deadlineMs, this.#protocol);
    const deadlineAtMs = arrivedAtMs + deadlineMs;
    const deadlineRefusal = this.#arrivalCheck.checkDeadline(match.route, deadlineAtMs);
    if (deadlineRefusal) return toRefusalResult(deadlineRefusal);
    scope.startDeadline(deadlineAtMs);
    const held = await this.#inboundBodies.read(
      request,
      match.route,
      this.#arrivalCheck.bodyMaxBytes,
      deadlineAtMs,
      scope.signal,
    );
    if (held.kind === 'refusal') return held;
    const { body } = held;
    const headers = forwardHeaders(request.rawHeaders, this.#protocol.nodeOnlyRequestHeaders);
    addLength(headers, body);
    const configVersion = this.options.snapshots.current()?.configVersion ?? 0;
    const call: RoutedRequest = {
      ...{ requestId, match, account, method, path, headers, body, configVersion, deadlineAtMs },
      answerDueAtMs: this.#answerDueTimes.of(request, match, arrivedAtMs),
    };
    this.counters.callsStarted += 1;
    const retryingCall = new RetryingCall(
      call,
      this.options,
      this.#retryPolicy,
      this.counters,
      scope.signal,
    );
    const startedAtMs = monotonicNowMs();
    const result = await retryingCall.run().finally(held.release);
    this.#reportEnd(call, retryingCall, result, monotonicNowMs() - startedAtMs);
    return result;
  }

  #reportEnd(
    call: RoutedRequest,
    retryingCall: RetryingCall,
    result: CallResult,
    tookMs: number,
  ): void {
    this.options.onEnded?.(summarizeCall(call, retryingCall, result, tookMs));
  }

  #checkOnArrival(requestId: string): CallRefusal | undefined {
    if (this.#isDraining && !this.options.receiver.running.has(requestId)) {
      return createNotRunRefusal(RefusalReason.Draining, 'the node is stopping');
    }
    return this.#arrivalCheck.checkServing();
  }

  async #writeResult(
    result: CallResult,
    writer: AnswerWriter,
    isBodyUnread: boolean,
  ): Promise<void> {
    if (result.kind === 'answer') {
      this.counters.callsAnswered += 1;
      if (!(await writer.writeAnswer(result.answer))) this.counters.answersCut += 1;
      return;
    }
    const { refusal } = result;
    if (refusal.outcome === RefusalOutcome.NotRun) this.counters.callsNotRun += 1;
    else this.counters.callsUnknown += 1;
    // A connection whose request body was not read completely cannot carry another request.
    writer.writeRefusal(refusal, this.#isDraining || isBodyUnread);
  }

  #nextRequestId(): string {
    this.#requestCount += 1;
    const { id, incarnation } = this.options.self;
    return `${id}-${incarnation.toString(36)}-${this.#requestCount.toString(36)}`;
  }
}

/**
 * Creates the proxy that accepts the calls of a node.
 *
 * @example
 * const receiver = new BackendCallReceiver({ self, rollout, admission, evidence, backend });
 * const transport = createTransport({ self, receiver, logger, random });
 * const calls = createCallProxy({
 *   self, snapshots, router, rollout, evidence, receiver, logger, random,
 *   sender: transport.sender, sequence: transport.attemptSequence,
 * });
 * await calls.start();
 */
export const createCallProxy = (options: CallProxyOptions): CallProxy => new CallProxy(options);
