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

/** Header of a refusal that is known not to have run. */
export const refusedHeader = 'x-backend-refused';

/** Name of a backend server. */
export interface BackendServerIdentity {
  readonly serverId: string;
  readonly service: string;
  readonly backendVersion: string;
}

/**
 * HTTP backend server whose behaviour can be changed while it runs. Every path is served except
 * `/-/`: `GET /-/health`, `GET /-/load`, `GET /-/ledger`, `GET /-/control`, `POST /-/control` (a
 * `BehaviourChange`), `POST /-/cold`, `POST /-/drain`.
 *
 * @example
 * const server = new BackendServer(identity, behaviour, new Ledger(), new SeededRandom(1));
 * const port = await server.listen('127.0.0.1', 0);
 */
export class BackendServer {
  readonly #app: FastifyInstance;

  readonly #model: ServiceTimeModel;

  readonly #loads = new LoadHistory();

  #running = 0;

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

  /** Applies a change after the same check as over HTTP; the error names the wrong key. */
  async changeBehaviour(change: BehaviourChange): Promise<void> {
    const answer = await this.#app.inject({ method: 'POST', url: '/-/control', payload: change });
    if (answer.statusCode !== 200) throw new TypeError(answer.body);
  }

  /** Sheds new calls and resolves when no call runs. */
  async drain(): Promise<void> {
    if (this.#drainingSinceMs === undefined) {
      this.#drainingSinceMs = monotonicNowMs();
      this.onDrain();
    }
    if (this.#running === 0) return;
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
      const told = {
        [EndpointAccuracy.Accurate]: this.#loads.valueAt(monotonicNowMs() - loadLagMs),
        [EndpointAccuracy.FalselyGood]: 0,
        [EndpointAccuracy.FalselyBad]: slots,
      };
      return { runningCalls: told[load], slots };
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
      // Answers at once; the running calls end later.
      this.drain().catch((error: unknown) => console.error(error));
      return this.#describe();
    });
  }

  #describe(): object {
    return {
      ...this.identity,
      isDraining: this.#drainingSinceMs !== undefined,
      runningCalls: this.#running,
      warmth: this.#model.warmth(this.behaviour),
      behaviour: this.behaviour,
    };
  }

  async #serve(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    const requestId = String(request.headers[requestIdHeader] ?? '');
    const { shedAtRunning } = this.behaviour;
    const isDraining = this.#drainingSinceMs !== undefined;
    if (isDraining || (shedAtRunning > 0 && this.#running >= shedAtRunning)) {
      this.ledger.record(LedgerEvent.Shed, requestId);
      return reply.code(503).header(refusedHeader, 'not-run').send({ requestId, refused: true });
    }
    this.#setRunning(1);
    this.ledger.record(LedgerEvent.Start, requestId);
    try {
      return await this.#work(request, reply, requestId);
    } finally {
      this.#setRunning(-1);
    }
  }

  async #work(
    request: FastifyRequest,
    reply: FastifyReply,
    requestId: string,
  ): Promise<FastifyReply> {
    const { durationMs, fault } = this.#model.modelCall(this.behaviour, request.url, this.#running);
    const deadline = Number(request.headers[deadlineHeader] ?? Number.NaN);
    const end = await waitForWork(
      fault === CallFaultKind.Hang ? Number.POSITIVE_INFINITY : durationMs,
      Number.isFinite(deadline) ? deadline : Number.POSITIVE_INFINITY,
      reply.raw,
    );
    if (end === WorkOutcome.Cancelled) return reply.hijack();
    reply.header(requestIdHeader, requestId);
    if (end === WorkOutcome.DeadlinePassed) return reply.code(504).send({ requestId, late: true });
    this.ledger.record(LedgerEvent.Finish, requestId);
    if (fault === CallFaultKind.Close) {
      reply.raw.destroy();
      return reply.hijack();
    }
    if (fault === CallFaultKind.Fail) return reply.code(500).send({ requestId, failed: true });
    return reply.send(this.#answer(request, requestId));
  }

  #answer(request: FastifyRequest, requestId: string): object {
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

  #setRunning(change: number): void {
    this.#running += change;
    this.#loads.record(this.#running);
    if (this.#running === 0) this.#onIdle?.();
  }
}
