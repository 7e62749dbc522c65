import type { BurnAnswer } from '@sequoiafield/burn';
import { CommandError } from '@sequoiafield/errors';
import type { FleetAnswer, MoveStatus } from '@sequoiafield/types';
import { Agent, request } from 'undici';

/** Fleet queries visit every node; the node answers with what it has after a few seconds. */
const requestTimeoutMs = 15_000;

/** Where the fleet stands with one configuration version. */
export interface ActiveVersionAnswer {
  /** Nodes that have this version, or a later one, in force. */
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
    const answer = await request(new URL(path, this.#url), {
      dispatcher: this.#agent,
      signal: AbortSignal.timeout(requestTimeoutMs),
      headers: this.#token === '' ? {} : { authorization: `Bearer ${this.#token}` },
    }).catch((error: unknown) => {
      throw new CommandError(`${subject} did not answer GET ${path}:`, { cause: error });
    });
    const text = await answer.body.text();
    if (answer.statusCode === 401) {
      throw new CommandError(`${subject} asks for its admin token; give --token`);
    }
    if (answer.statusCode !== 200) {
      throw new CommandError(`${subject} answered status ${answer.statusCode} to GET ${path}`);
    }
    try {
      return JSON.parse(text);
    } catch (error) {
      throw new CommandError(`${subject} answered GET ${path} without JSON:`, { cause: error });
    }
  }
}
