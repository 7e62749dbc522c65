import type { ConfigurationStore, StoredSeeds } from '@sequoiafield/distribution';
import type { HeadRecord, Manifest, SeedRecord } from '@sequoiafield/types';
import { Agent, request } from 'undici';

/**
 * Reads and writes the benchmark's configuration store over HTTP.
 *
 * @example
 * const store = new HttpConfigurationStore('http://127.0.0.1:8001');
 */
export class HttpConfigurationStore implements ConfigurationStore {
  calls = 0;

  readonly #agent = new Agent({ connections: 4, keepAliveTimeout: 30_000 });

  constructor(private readonly url: string) {}

  async readHead(): Promise<{ record: HeadRecord } | undefined> {
    return (JSON.parse(await this.#call('/head')) as { record: HeadRecord } | null) ?? undefined;
  }

  async readManifest(digest: string): Promise<Manifest> {
    return JSON.parse(await this.#call(`/manifest/${digest}`)) as Manifest;
  }

  async readSection(_: string, digest: string): Promise<{ body: string }> {
    return { body: await this.#call(`/section/${digest}`) };
  }

  async readSeeds(dataCentre: string): Promise<StoredSeeds | undefined> {
    const text = await this.#call(`/seeds/${dataCentre}`);
    return (JSON.parse(text) as StoredSeeds | null) ?? undefined;
  }

  async writeSeeds(record: SeedRecord, revision: number | undefined): Promise<boolean> {
    const body = JSON.stringify({ record, revision });
    return (await this.#call(`/seeds/${record.dataCentre}`, body)) === 'true';
  }

  async #call(path: string, body?: string): Promise<string> {
    this.calls += 1;
    const method = body === undefined ? 'GET' : 'PUT';
    const dispatcher = this.#agent;
    const response = await request(`${this.url}${path}`, { method, body, dispatcher });
    const text = await response.body.text();
    if (response.statusCode !== 200)
      throw new Error(
        `Benchmark store answered ${method} ${path} with status ${response.statusCode}`,
      );
    return text;
  }
}
