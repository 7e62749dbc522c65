import Fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify';
import { monotonicNowMs, type RandomSource } from '@sequoiafield/tables';
import { bodyMaxBytes, deadlineHeader, requestIdHeader } from '@sequoiafield/types';
import { buildAnswerBody, sha256Hex } from './answer-body.js';
import {
  behaviourChangeSchema,
  EndpointAccuracy,
  CallFaultKind,
  mergeBehaviour,
  type BackendServerBehaviour,
  type BehaviourChange,
} from './behaviour.js';
import { LoadHistory } from './load-history.js';
import { LedgerEvent, type Ledger } from './ledger.js';
import { ServiceTimeModel } from './service-time-model.js';
import { waitForWork, WorkOutcome } from './wait-for-work.js';

/** Response header of a refused call; the value `not-run` states that the call did not run. */
export const refusedHeader = 'x-backend-refused';

/** Identity of a backend server; part of each answer. */
export interface BackendServerIdentity {
  readonly serverId: string;
  readonly service: string;
  readonly backendVersion: string;
}

/**
 * HTTP backend server whose behaviour can be changed while it runs. It serves calls on every path
 * except the control paths below `/-/`: `GET /-/health`, `GET /-/load`, `GET /-/ledger`,
 * `GET /-/control`, `POST /-/control` (a `BehaviourChange`), `POST /-/cold`, `POST /-/drain`.
 *
 * @example
 * const server = new BackendServer(identity, behaviour, new Ledger(), new SeededRandom(1));
 * const port = await server.listen('127.0.0.1', 0);
 */
export class BackendServer {
  readonly #app: FastifyInstance;

  readonly #model: ServiceTimeModel;

  readonly #loadHistory = new LoadHistory();

  #runningCalls = 0;

  #drainingSinceMs: number | undefined;

  #onIdle: (() => void) | undefined;

  constructor(
    private readonly identity: BackendServerIdentity,
    private behaviour: BackendServerBehaviour,
    private readonly ledger: Ledger,
    random: RandomSource,
    private readonly onDrain: () => void = () => {},
    keepAliveTimeoutMs = 72_000,
  ) {
    this.#model = new ServiceTimeModel(random);
    this.#app = Fastify({
      bodyLimit: bodyMaxBytes,
      keepAliveTimeout: keepAliveTimeoutMs,
      forceCloseConnections: true,
      ajv: { customOptions: { removeAdditional: false, coerceTypes: false } },
    });
    this.#registerControl();
    this.#app.register(async (scope) => {
      scope.removeAllContentTypeParsers();
      scope.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => {
        done(null, body);
      });
      scope.all('/*', (request, reply) => this.#serve(request, reply));
    });
  }

  async listen(address: string, port: number): Promise<number> {
    await this.#app.listen({ host: address, port });
    const bound = this.#app.server.address();
    return typeof bound === 'object' && bound ? bound.port : port;
  }

  /** Applies a change, validated as over HTTP; throws a `TypeError` that names the invalid key. */
  async changeBehaviour(change: BehaviourChange): Promise<void> {
    const answer = await this.#app.inject({ method: 'POST', url: '/-/control', payload: change });
    if (answer.statusCode !== 200) throw new TypeError(answer.body);
  }

  /** Sheds new calls and waits until no call runs. */
  async drain(): Promise<void> {
    if (this.#drainingSinceMs === undefined) {
      this.#drainingSinceMs = monotonicNowMs();
      this.onDrain();
    }
    if (this.#runningCalls === 0) return;
    await new Promise<void>((resolve) => {
      this.#onIdle = resolve;
    });
  }

  async close(): Promise<void> {
    await this.#app.close();
  }

  #registerControl(): void {
    this.#app.get('/-/health', (_request, reply) => {
      const { health, healthLagMs } = this.behaviour;
      const drainingSinceMs = this.#drainingSinceMs ?? Number.POSITIVE_INFINITY;
      const isDrainShown = monotonicNowMs() - drainingSinceMs >= healthLagMs;
      const isOk =
        health === EndpointAccuracy.FalselyGood ||
        (health === EndpointAccuracy.Accurate && !isDrainShown);
      return reply.code(isOk ? 200 : 503).send({ ok: isOk });
    });
    this.#app.get('/-/load', () => {
      const { load, loadLagMs, slots } = this.behaviour;
      const runningCallsByAccuracy = {
        [EndpointAccuracy.Accurate]: this.#loadHistory.valueAt(monotonicNowMs() - loadLagMs),
        [EndpointAccuracy.FalselyGood]: 0,
        [EndpointAccuracy.FalselyBad]: slots,
      };
      return { runningCalls: runningCallsByAccuracy[load], slots };
    });
    this.#app.get('/-/ledger', () => ({ ...this.identity, entries: this.ledger.entries() }));
    this.#app.get('/-/control', () => this.#describe());
    this.#app.post<{ Body: BehaviourChange }>(
      '/-/control',
      { schema: { body: behaviourChangeSchema } },
      (request) => {
        this.behaviour = mergeBehaviour(this.behaviour, request.body);
        return this.#describe();
      },
    );
    this.#app.post('/-/cold', () => {
      this.#model.turnCold();
      return this.#describe();
    });
    this.#app.post('/-/drain', () => {
      // The response does not wait for the running calls to end.
      this.drain().catch((error: unknown) => console.error(error));
      return this.#describe();
    });
  }

  #describe(): object {
    return {
      ...this.identity,
      isDraining: this.#drainingSinceMs !== undefined,
      runningCalls: this.#runningCalls,
      warmth: this.#model.warmth(this.behaviour),
      behaviour: this.behaviour,
    };
  }

  async #serve(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    const requestId = String(request.headers[requestIdHeader] ?? '');
    const { shedAtRunning } = this.behaviour;
    const isDraining = this.#drainingSinceMs !== undefined;
    if (isDraining || (shedAtRunning > 0 && this.#runningCalls >= shedAtRunning)) {
      this.ledger.record(LedgerEvent.Shed, requestId);
      return reply.code(503).header(refusedHeader, 'not-run').send({ requestId, refused: true });
    }
    this.#changeRunningCalls(1);
    this.ledger.record(LedgerEvent.Start, requestId);
    try {
      return await this.#runCall(request, reply, requestId);
    } finally {
      this.#changeRunningCalls(-1);
    }
  }

  async #runCall(
    request: FastifyRequest,
    reply: FastifyReply,
    requestId: string,
  ): Promise<FastifyReply> {
    const { durationMs, fault } = this.#model.modelCall(
      this.behaviour,
      request.url,
      this.#runningCalls,
    );
    const deadlineMs = Number(request.headers[deadlineHeader] ?? Number.NaN);
    const outcome = await waitForWork(
      fault === CallFaultKind.Hang ? Number.POSITIVE_INFINITY : durationMs,
      Number.isFinite(deadlineMs) ? deadlineMs : Number.POSITIVE_INFINITY,
      reply.raw,
    );
    if (outcome === WorkOutcome.Cancelled) return reply.hijack();
    reply.header(requestIdHeader, requestId);
    if (outcome === WorkOutcome.DeadlinePassed)
      return reply.code(504).send({ requestId, late: true });
    this.ledger.record(LedgerEvent.Finish, requestId);
    if (fault === CallFaultKind.Close) {
      reply.raw.destroy();
      return reply.hijack();
    }
    if (fault === CallFaultKind.Fail) return reply.code(500).send({ requestId, failed: true });
    return reply.send(this.#buildAnswer(request, requestId));
  }

  #buildAnswer(request: FastifyRequest, requestId: string): object {
    const body = Buffer.isBuffer(request.body) ? request.body : '';
    return buildAnswerBody(
      {
        ...this.identity,
        requestId,
        method: request.method,
        path: request.url,
        requestDigest: sha256Hex(body),
      },
      this.behaviour.payloadBytes,
    );
  }

  #changeRunningCalls(change: number): void {
    this.#runningCalls += change;
    this.#loadHistory.record(this.#runningCalls);
    if (this.#runningCalls === 0) this.#onIdle?.();
  }
}
