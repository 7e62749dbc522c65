import type { RandomSource } from '@sequoiafield/tables';
import type { SentRequest } from '../backend-server/answer-body.js';

/** Kind of request in the mix; `{n}` in the path is replaced by a random number. */
export interface RouteTemplate {
  readonly method: string;
  readonly path: string;
  readonly isIdempotent: boolean;
}

/** One request with the time to send it, counted from the start of the run. */
export interface PlannedRequest extends SentRequest {
  readonly route: string;
  readonly isIdempotent: boolean;
  readonly atMs: number;
}

/** Mix and rate of an open-loop load. */
export interface CallPlanOptions {
  readonly runId: string;
  readonly ratePerS: number;
  /** Percentage of the requests that are lookups, 0 to 100. */
  readonly lookupPercent: number;
  readonly lookups: readonly RouteTemplate[];
  readonly requests: readonly RouteTemplate[];
  readonly bodyBytes: number;
}

/** Number of different values of `{n}`. */
const pathNumberCount = 1000;

/**
 * Parses a route template of the form `METHOD /path`; throws a `TypeError` for other texts.
 *
 * @example
 * parseRouteTemplate('POST /settle/{n}', false);
 */
export const parseRouteTemplate = (text: string, isIdempotent: boolean): RouteTemplate => {
  const [method, path, ...rest] = text.split(' ');
  if (!method || !path?.startsWith('/') || rest.length > 0) {
    throw new TypeError(`"${text}" is not a method and a path, such as "GET /tabs/{n}"`);
  }
  return { method: method.toUpperCase(), path, isIdempotent };
};

/**
 * Generates requests with exponentially distributed intervals; equal seeds give equal requests.
 *
 * @example
 * const plan = new CallPlan(options, new SeededRandom(1));
 * plan.next().atMs;
 */
export class CallPlan {
  #atMs = 0;

  #count = 0;

  constructor(
    private readonly options: CallPlanOptions,
    private readonly random: RandomSource,
  ) {
    if (options.lookups.length + options.requests.length === 0) {
      throw new TypeError('the call plan has no route: it needs at least one lookup or request');
    }
  }

  next(): PlannedRequest {
    const { runId, ratePerS, bodyBytes } = this.options;
    this.#atMs += (-Math.log(1 - this.random.next()) * 1000) / ratePerS;
    this.#count += 1;
    const template = this.#chooseTemplate();
    const requestId = `${runId}-${this.#count}`;
    return {
      requestId,
      method: template.method,
      path: template.path.replaceAll('{n}', String(this.random.nextInt(pathNumberCount))),
      body: template.method === 'GET' ? '' : `${requestId} `.padEnd(bodyBytes, 'x'),
      route: `${template.method} ${template.path}`,
      isIdempotent: template.isIdempotent,
      atMs: this.#atMs,
    };
  }

  #chooseTemplate(): RouteTemplate {
    const { lookups, requests, lookupPercent } = this.options;
    const isLookup = this.random.next() * 100 < lookupPercent;
    const preferred = isLookup ? lookups : requests;
    const templates = preferred.length > 0 ? preferred : [...lookups, ...requests];
    return templates[this.random.nextInt(templates.length)]!;
  }
}
