import type { IncomingMessage } from 'node:http';
import { monotonicNowMs, type RandomSource } from '@sequoiafield/tables';
import {
  RefusalReason,
  type CalledRoute,
  type CallRefusal,
  type CancelSignal,
} from '@sequoiafield/types';
import { replayableBodyMaxBytes, type BodyMemory } from './body-memory.js';
import { createMemoryRefusal, createNotRunRefusal } from './refusals.js';
import { hasBody, RequestBodyReader, type RequestBody } from './request-body.js';

/** Time that a large body waits for memory at most, and the share of the remaining time. */
const memoryWaitMaxMs = 500;
const memoryWaitShare = 1 / 3;
/** Time in which the body of a refused request is read, before its connection is closed. */
const discardMaxMs = 1000;

/** Body of a request and the function that gives its memory back. */
export interface HeldBody {
  readonly kind: 'body';
  readonly body: RequestBody;
  release(): void;
}

/** Either the body of a request or the refusal of a request that has not run. */
export type InboundBodyResult =
  HeldBody | { readonly kind: 'refusal'; readonly refusal: CallRefusal };

const noBody: HeldBody = { kind: 'body', body: undefined, release: () => undefined };

/**
 * Reads and discards the rest of a request's body, so that a caller that still sends it can read the
 * refusal; a connection that is closed with unread bytes is reset.
 */
export const discardBody = (request: IncomingMessage): Promise<void> =>
  new Promise((resolve) => {
    const timer = setTimeout(resolve, discardMaxMs);
    const onEnd = (): void => {
      clearTimeout(timer);
      resolve();
    };
    request.on('end', onEnd).on('close', onEnd).resume();
  });

/**
 * Reads the bodies of callers' requests within the memory for bodies. A large body is read once there is
 * memory for all of it, so that bodies that are half there never keep each other from being completed.
 *
 * @example
 * const result = await inboundBodies.read(request, route, bodyMaxBytes, deadlineAtMs, scope.signal);
 */
export class InboundBodies {
  constructor(
    private readonly memory: BodyMemory,
    private readonly random: RandomSource,
  ) {}

  async read(
    request: IncomingMessage,
    route: CalledRoute,
    bodyMaxBytes: number,
    deadlineAtMs: number,
    signal: CancelSignal,
  ): Promise<InboundBodyResult> {
    if (!hasBody(request)) return noBody;
    const budget = this.memory.node;
    const wholeBodyMaxBytes =
      route.hasLargeBodies === true ? this.memory.wholeBodyMaxBytes : replayableBodyMaxBytes;
    const takenBytes = this.#bytesToTake(request, wholeBodyMaxBytes);
    if (takenBytes > 0) {
      const waitMs = Math.min(memoryWaitMaxMs, memoryWaitShare * (deadlineAtMs - monotonicNowMs()));
      if (!(await budget.take(takenBytes, waitMs))) {
        return { kind: 'refusal', refusal: createMemoryRefusal(this.random) };
      }
    }
    const limits = { bodyMaxBytes, wholeBodyMaxBytes, budget, takenBytes };
    const reader = new RequestBodyReader(request, limits);
    try {
      return { kind: 'body', body: await reader.read(signal), release: () => reader.release() };
    } catch {
      reader.release();
      const detail = 'the request body did not arrive in time';
      return {
        kind: 'refusal',
        refusal: createNotRunRefusal(RefusalReason.DeadlinePassed, detail),
      };
    }
  }

  /**
   * Bytes to take before a body is read: the whole body if it is held, a first part if it is streamed;
   * 0 for bodies of usual size, whose number the connections bound.
   */
  #bytesToTake(request: IncomingMessage, wholeBodyMaxBytes: number): number {
    if (wholeBodyMaxBytes <= replayableBodyMaxBytes) return 0;
    const lengthBytes = Number(request.headers['content-length'] ?? Infinity);
    if (lengthBytes <= replayableBodyMaxBytes) return 0;
    return lengthBytes <= wholeBodyMaxBytes ? lengthBytes : replayableBodyMaxBytes;
  }
}
