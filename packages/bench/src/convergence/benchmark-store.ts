import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { HeadRecord, Manifest } from '@sequoiafield/types';
import { sha256Hex, jsonSectionChecker } from './json-section-checker.js';

const readText = async (message: IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = [];
  for await (const chunk of message) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
};

const createServiceBody = (name: string, version: number): string =>
  JSON.stringify({
    service: {
      name,
      priority: 1,
      stableVersion: `v${version}`,
      slots: 10,
      connectionsMax: 130,
      failureLimitPercent: 2,
      latencyLimitMs: 250,
    },
    routes: Array.from({ length: 4 }, (_, index) => ({
      name: `${name}-${index}`,
      service: name,
      method: 'POST',
      path: `/${name}/${index}/*`,
      isIdempotent: false,
      deadlineMs: 2000,
      retryBudgetPercent: 10,
    })),
    moves: [],
  });

/**
 * Serves the configuration store of the benchmark over HTTP, counts its calls and can be
 * unavailable.
 *
 * @example
 * const store = new BenchmarkStore(300);
 * const url = await store.listen();
 * const { configVersion } = store.accept();
 */
export class BenchmarkStore {
  calls = 0;

  isUnavailable = false;

  #head: HeadRecord | undefined;

  readonly #values = new Map<string, string>();

  readonly #seeds = new Map<string, { revision: number; record: unknown }>();

  readonly #manifests = new Map<number, Manifest>();

  readonly #server: Server;

  constructor(private readonly serviceCount: number) {
    this.#server = createServer((message, response) => {
      this.calls += 1;
      this.#answer(message, response).catch(() => {
        response.statusCode = 500;
        response.end();
      });
    });
  }

  listen(): Promise<string> {
    return new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', () => {
        resolve(`http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`);
      });
    });
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  manifest(configVersion: number): Manifest | undefined {
    return this.#manifests.get(configVersion);
  }

  section(digest: string): string | undefined {
    return this.#values.get(`/section/${digest}`);
  }

  /** Accepts the next version, which changes one service. */
  accept(): HeadRecord {
    const configVersion = (this.#head?.configVersion ?? 0) + 1;
    const sections = { ...this.#manifests.get(configVersion - 1)?.sections };
    const storeSection = (name: string, body: string): void => {
      sections[name] = sha256Hex(body);
      this.#values.set(`/section/${sha256Hex(body)}`, body);
    };
    const isFirst = configVersion === 1;
    if (isFirst) storeSection('mesh', JSON.stringify({ dataCentres: [] }));
    for (let index = 0; index < (isFirst ? this.serviceCount : 1); index++) {
      const name = `service-${(index + configVersion) % this.serviceCount}`;
      storeSection(name, createServiceBody(name, configVersion));
    }
    const manifest = { configVersion, sections };
    const manifestDigest = sha256Hex(jsonSectionChecker.toCanonicalJson(manifest));
    this.#manifests.set(configVersion, manifest);
    this.#values.set(`/manifest/${manifestDigest}`, JSON.stringify(manifest));
    this.#head = {
      configVersion,
      manifestDigest,
      operationId: `operation-${configVersion}`,
      acceptedAtUnixMs: Date.now(),
      author: 'benchmark',
    };
    return this.#head;
  }

  async #answer(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = message.url ?? '';
    const body = await readText(message);
    if (this.isUnavailable) {
      response.statusCode = 503;
      response.end();
      return;
    }
    if (url === '/head') response.end(JSON.stringify(this.#head ? { record: this.#head } : null));
    else if (url.startsWith('/seeds/')) response.end(this.#createSeedsAnswer(url, body));
    else {
      const value = this.#values.get(url);
      if (value === undefined) response.statusCode = 404;
      response.end(value);
    }
  }

  #createSeedsAnswer(url: string, body: string): string {
    const current = this.#seeds.get(url);
    if (body === '') return JSON.stringify(current ?? null);
    const { record, revision } = JSON.parse(body) as { record: unknown; revision?: number };
    if (current?.revision !== revision) return 'false';
    this.#seeds.set(url, { record, revision: (revision ?? 0) + 1 });
    return 'true';
  }
}
