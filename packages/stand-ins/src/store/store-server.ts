import { setTimeout as sleep } from 'node:timers/promises';
import Fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify';
import {
  StoreFaultEffect,
  StoreOperation,
  StoreFaultPlan,
  type StoreFaultRule,
} from './store-fault-plan.js';
import { KeyValueTable } from './key-value-table.js';

/** Size limit of a value, as on the platform. */
const valueMaxBytes = 1024 * 1024;
/**
 * Limit of a request body. JSON escapes at most double the size of a usual text; the size of the
 * value itself is checked exactly.
 */
const bodyLimitBytes = 4 * valueMaxBytes;
const defaultLeaseMs = 10_000;

/** Counts of requests by kind; a pending watch counts as one request. */
export interface StoreCounters {
  reads: number;
  writes: number;
  watches: number;
  leases: number;
}

interface KeyRequest {
  readonly Params: { readonly '*': string };
}

interface HttpReply {
  readonly status: number;
  readonly body?: unknown;
}

/**
 * Stand-in for the platform's key-value store over HTTP. `PUT /control/faults` sets faults and
 * `GET /control/counters` returns the request counts; the faults affect neither.
 *
 * @example
 * const server = new StoreServer();
 * const url = await server.listen('127.0.0.1', 0);
 * await server.close();
 */
export class StoreServer {
  readonly table = new KeyValueTable();

  readonly faults = new StoreFaultPlan();

  readonly counters: StoreCounters = { reads: 0, writes: 0, watches: 0, leases: 0 };

  readonly #app: FastifyInstance;

  constructor() {
    this.#app = Fastify({ bodyLimit: bodyLimitBytes, forceCloseConnections: true });
    this.#addKeyRoutes();
    this.#addLeaseRoutes();
    this.#addControlRoutes();
  }

  /** Starts to listen and returns the URL; port 0 selects a free port. */
  async listen(address: string, port: number): Promise<string> {
    return this.#app.listen({ host: address, port });
  }

  async close(): Promise<void> {
    await this.#app.close();
  }

  #addKeyRoutes(): void {
    this.#app.get<KeyRequest>('/v1/kv/*', (request, reply) => {
      const key = request.params['*'];
      this.counters.reads += 1;
      return this.#serve(StoreOperation.Read, key, reply, () => {
        const entry = this.table.get(key);
        return entry ? { status: 200, body: entry } : { status: 404, body: { absent: true } };
      });
    });
    this.#app.put<KeyRequest>('/v1/kv/*', (request, reply) => {
      this.counters.writes += 1;
      const key = request.params['*'];
      return this.#serve(StoreOperation.Write, key, reply, () => this.#swap(request));
    });
    this.#app.delete<KeyRequest & { Querystring: { expectedRevision?: string } }>(
      '/v1/kv/*',
      (request, reply) => {
        const key = request.params['*'];
        const expectedRevision = Number(request.query.expectedRevision ?? 0);
        this.counters.writes += 1;
        return this.#serve(StoreOperation.Write, key, reply, () =>
          this.table.compareAndDelete(key, expectedRevision)
            ? { status: 200, body: {} }
            : { status: 409, body: { current: this.table.get(key) ?? null } },
        );
      },
    );
    this.#app.get<KeyRequest & { Querystring: { afterRevision?: string; waitMs?: string } }>(
      '/v1/watch/*',
      (request, reply) => {
        const key = request.params['*'];
        const { afterRevision = '0', waitMs = '0' } = request.query;
        this.counters.watches += 1;
        return this.#serve(StoreOperation.Read, key, reply, async () => {
          const entry = await this.table.watch(key, Number(afterRevision), Number(waitMs));
          return entry ? { status: 200, body: entry } : { status: 204 };
        });
      },
    );
  }

  #swap(request: FastifyRequest<KeyRequest>): HttpReply {
    const { expectedRevision, value } = (request.body ?? {}) as Record<string, unknown>;
    if (typeof expectedRevision !== 'number' || typeof value !== 'string') {
      return { status: 400, body: { error: 'expectedRevision and value are required' } };
    }
    if (Buffer.byteLength(value) > valueMaxBytes) {
      return { status: 413, body: { error: `a value has at most ${valueMaxBytes} bytes` } };
    }
    const key = request.params['*'];
    const entry = this.table.compareAndSwap(key, expectedRevision, value);
    if (entry) return { status: 200, body: { revision: entry.revision } };
    return { status: 409, body: { current: this.table.get(key) ?? null } };
  }

  #addLeaseRoutes(): void {
    this.#app.post('/v1/leases', (request, reply) => {
      this.counters.leases += 1;
      const { durationMs = defaultLeaseMs } = (request.body ?? {}) as { durationMs?: number };
      return this.#serve(StoreOperation.Write, '', reply, () => ({
        status: 200,
        body: { leaseId: this.table.grantLease(durationMs, performance.now()) },
      }));
    });
    this.#app.put<{ Params: { leaseId: string } }>('/v1/leases/:leaseId', (request, reply) => {
      this.counters.leases += 1;
      const { leaseId } = request.params;
      const { durationMs = defaultLeaseMs } = (request.body ?? {}) as { durationMs?: number };
      return this.#serve(StoreOperation.Write, '', reply, () => ({
        status: 200,
        body: { isHeld: this.table.renewLease(leaseId, durationMs, performance.now()) },
      }));
    });
  }

  #addControlRoutes(): void {
    this.#app.get('/control/counters', () => this.counters);
    this.#app.put('/control/faults', (request) => {
      const rules = request.body as Partial<StoreFaultRule>[];
      this.faults.replace(
        rules.map((rule) => ({
          effect: rule.effect ?? StoreFaultEffect.Refuse,
          operation: rule.operation ?? StoreOperation.Any,
          keyPrefix: rule.keyPrefix ?? '',
          delayMs: rule.delayMs ?? 0,
          remaining: rule.remaining,
        })),
      );
      return { rules: rules.length };
    });
  }

  /** Executes a request with the fault rule that matches it, if any. */
  async #serve(
    operation: StoreOperation,
    key: string,
    reply: FastifyReply,
    execute: () => HttpReply | Promise<HttpReply>,
  ): Promise<unknown> {
    const rule = this.faults.consumeRule(operation, key);
    if (rule?.effect === StoreFaultEffect.Refuse) {
      return reply.code(503).send({ error: 'refused by a fault rule' });
    }
    if (rule?.effect === StoreFaultEffect.Hang) return reply.hijack();
    if (rule?.effect === StoreFaultEffect.Delay) await sleep(rule.delayMs);
    const result = rule?.effect === StoreFaultEffect.Drop ? undefined : await execute();
    if (!result || rule?.effect === StoreFaultEffect.LoseAnswer) {
      reply.hijack();
      reply.raw.destroy();
      return reply;
    }
    return reply.code(result.status).send(result.body);
  }
}
