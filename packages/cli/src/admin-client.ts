import type { BurnAnswer } from '@sequoiafield/burn';
import { CommandError } from '@sequoiafield/errors';
import type { FleetAnswer, MoveStatus } from '@sequoiafield/types';
import { Agent, request } from 'undici';

/** Fleet queries visit every node; after a few seconds the node answers with partial results. */
const requestTimeoutMs = 15_000;

/** Progress of the fleet towards one configuration version. */
export interface ActiveVersionAnswer {
  /** Number of nodes on which this version or a later one is active. */
  readonly inForce: number;
  /** Ids of nodes with an older version. */
  readonly lagging: readonly string[];
}

/**
 * Client of the admin interface of one node; every failure is a `CommandError`.
 *
 * @example
 * const admin = new AdminClient('http://127.0.0.1:7003', '');
 * const { total, value } = await admin.fetchActiveVersion(7);
 * await admin.close();
 */
export class AdminClient {
  readonly #url: string;

  readonly #token: string;

  readonly #agent = new Agent();

  constructor(url: string, token: string) {
    this.#url = url;
    this.#token = token;
  }

  async fetchActiveVersion(configVersion: number): Promise<FleetAnswer<ActiveVersionAnswer>> {
    const path = `/v1/fleet/in-force?configVersion=${configVersion}`;
    return (await this.#get(path)) as FleetAnswer<ActiveVersionAnswer>;
  }

  async fetchMoves(): Promise<readonly MoveStatus[]> {
    return ((await this.#get('/v1/moves')) as { moves: readonly MoveStatus[] }).moves;
  }

  async fetchBurn(): Promise<FleetAnswer<BurnAnswer>> {
    return (await this.#get('/v1/fleet/burn')) as FleetAnswer<BurnAnswer>;
  }

  async fetchState(): Promise<unknown> {
    return this.#get('/v1/state');
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #get(path: string): Promise<unknown> {
    const subject = `The node at ${this.#url}`;
    const response = await request(new URL(path, this.#url), {
      dispatcher: this.#agent,
      signal: AbortSignal.timeout(requestTimeoutMs),
      headers: this.#token === '' ? {} : { authorization: `Bearer ${this.#token}` },
    }).catch((error: unknown) => {
      throw new CommandError(`${subject} did not answer GET ${path}:`, { cause: error });
    });
    const text = await response.body.text();
    if (response.statusCode === 401) {
      throw new CommandError(`${subject} requires its admin token; use --token`);
    }
    if (response.statusCode !== 200) {
      throw new CommandError(`${subject} answered GET ${path} with status ${response.statusCode}`);
    }
    try {
      return JSON.parse(text);
    } catch (error) {
      throw new CommandError(`${subject} answered GET ${path} with a body that is not JSON:`, {
        cause: error,
      });
    }
  }
}
