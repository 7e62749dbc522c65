import { Agent, request, type Dispatcher } from 'undici';
import { StoreNotWrittenError, StoreOutcomeUnknownError } from './errors.js';
import type { DeleteResult, PlatformStore, StoreEntry, SwapResult } from './platform-store.js';

/** Settings of the connection to the store. */
export interface HttpStoreOptions {
  readonly url: string;
  /** Time for one request, from connecting to the last byte of the answer. */
  readonly timeoutMs: number;
}

interface HttpAnswer {
  readonly status: number;
  readonly body: unknown;
}

// Statuses with which the platform refuses a request before it executes anything, according to the
// documentation of the key-value interface.
const refusedStatuses: ReadonlySet<number> = new Set([400, 401, 403, 404, 413, 429, 503]);
// System calls that run before the first byte of the request leaves this process. The error code alone
// is not enough: ETIMEDOUT and EHOSTUNREACH also occur on a connection that carried a request.
const connectSystemCalls: ReadonlySet<unknown> = new Set(['connect', 'getaddrinfo']);
const connectionsMax = 8;

const isUnsent = (error: unknown): boolean => {
  if (error instanceof AggregateError) return error.errors.every(isUnsent);
  if (!(error instanceof Error)) return false;
  const { code, syscall } = error as NodeJS.ErrnoException;
  return code === 'UND_ERR_CONNECT_TIMEOUT' || connectSystemCalls.has(syscall);
};

const parseEntry = (body: unknown): StoreEntry => {
  const { value, revision } = (body ?? {}) as Partial<StoreEntry>;
  if (typeof value === 'string' && Number.isSafeInteger(revision) && Number(revision) > 0) {
    return { value, revision: Number(revision) };
  }
  throw new TypeError('the answer is not an entry with value and revision');
};

// A 404 from another server, such as a proxy with a wrong path, does not mean that the key is absent.
const isAbsentAnswer = ({ status, body }: HttpAnswer): boolean =>
  status === 404 && (body as { absent?: unknown } | undefined)?.absent === true;

/**
 * Client of the HTTP interface of the platform's store.
 *
 * @example
 * const store = new HttpStore({ url: 'http://127.0.0.1:7070', timeoutMs: 1000 });
 * const entry = await store.get('sequoiafield/head');
 * await store.close();
 */
export class HttpStore implements PlatformStore {
  readonly #options: HttpStoreOptions;

  readonly #agent: Agent;

  constructor(options: HttpStoreOptions) {
    this.#options = options;
    this.#agent = new Agent({
      connections: connectionsMax,
      pipelining: 1,
      connect: { timeout: options.timeoutMs },
    });
  }

  async get(key: string): Promise<StoreEntry | undefined> {
    return this.#read(`/v1/kv/${encodeURI(key)}`);
  }

  async compareAndSwap(key: string, expectedRevision: number, value: string): Promise<SwapResult> {
    const path = `/v1/kv/${encodeURI(key)}`;
    const answer = await this.#write('PUT', path, { expectedRevision, value }, [409]);
    const { revision, current } = (answer.body ?? {}) as { revision?: unknown; current?: unknown };
    try {
      if (answer.status === 409) {
        return { kind: 'conflict', current: current ? parseEntry(current) : undefined };
      }
      return { kind: 'written', revision: parseEntry({ value, revision }).revision };
    } catch (error) {
      throw new StoreOutcomeUnknownError(`The answer to PUT ${path} is not readable:`, {
        cause: error,
      });
    }
  }

  async compareAndDelete(key: string, expectedRevision: number): Promise<DeleteResult> {
    const path = `/v1/kv/${encodeURI(key)}?expectedRevision=${expectedRevision}`;
    const answer = await this.#write('DELETE', path, undefined, [409]);
    if (answer.status === 200) return { kind: 'deleted' };
    const { current } = (answer.body ?? {}) as { current?: unknown };
    try {
      return { kind: 'conflict', current: current ? parseEntry(current) : undefined };
    } catch (error) {
      throw new StoreOutcomeUnknownError(`The answer to DELETE ${path} is not readable:`, {
        cause: error,
      });
    }
  }

  async grantLease(durationMs: number): Promise<{ leaseId: string }> {
    const answer = await this.#write('POST', '/v1/leases', { durationMs }, []);
    return answer.body as { leaseId: string };
  }

  async keepLease(leaseId: string): Promise<{ isHeld: boolean }> {
    const answer = await this.#write('PUT', `/v1/leases/${encodeURI(leaseId)}`, {}, []);
    return answer.body as { isHeld: boolean };
  }

  async watch(key: string, afterRevision: number, waitMs: number): Promise<StoreEntry | undefined> {
    const query = `afterRevision=${afterRevision}&waitMs=${waitMs}`;
    return this.#read(`/v1/watch/${encodeURI(key)}?${query}`, waitMs);
  }

  /** Closes the connections and aborts the requests that are still running. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #read(path: string, extraMs = 0): Promise<StoreEntry | undefined> {
    try {
      const answer = await this.#send('GET', path, undefined, extraMs);
      if (answer.status === 204 || isAbsentAnswer(answer)) return undefined;
      if (answer.status === 200) return parseEntry(answer.body);
      throw new TypeError(`unexpected status ${answer.status}`);
    } catch (error) {
      throw new StoreNotWrittenError(`The store gave no usable answer to GET ${path}:`, {
        cause: error,
      });
    }
  }

  async #write(
    method: 'DELETE' | 'POST' | 'PUT',
    path: string,
    body: unknown,
    allowedStatuses: readonly number[],
  ): Promise<HttpAnswer> {
    const call = `${method} ${path}`;
    const answer = await this.#send(method, path, body, 0).catch((error: unknown) => {
      if (isUnsent(error)) {
        throw new StoreNotWrittenError(`The store is unreachable for ${call}:`, { cause: error });
      }
      throw new StoreOutcomeUnknownError(`The answer to ${call} was lost:`, { cause: error });
    });
    if (answer.status === 200 || allowedStatuses.includes(answer.status)) return answer;
    const text = `The store answered status ${answer.status} to ${call}`;
    if (refusedStatuses.has(answer.status)) throw new StoreNotWrittenError(text);
    throw new StoreOutcomeUnknownError(text);
  }

  async #send(
    method: Dispatcher.HttpMethod,
    path: string,
    body: unknown,
    extraMs: number,
  ): Promise<HttpAnswer> {
    const { statusCode, body: answerBody } = await request(new URL(path, this.#options.url), {
      method,
      dispatcher: this.#agent,
      signal: AbortSignal.timeout(this.#options.timeoutMs + extraMs),
      ...(body !== undefined && {
        body: JSON.stringify(body),
        headers: { 'content-type': 'application/json' },
      }),
    });
    const text = await answerBody.text();
    return { status: statusCode, body: text === '' ? undefined : JSON.parse(text) };
  }
}
