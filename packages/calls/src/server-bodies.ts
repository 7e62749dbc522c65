import { BodyChannel } from '@sequoiafield/transport';
import { monotonicNowMs } from '@sequoiafield/tables';
import { RefusalReason, type CallOpen, type CallRefusal } from '@sequoiafield/types';
import { replayableBodyMaxBytes, type BodyMemory } from './body-memory.js';
import { createMemoryRefusal, createNotRunRefusal } from './refusals.js';

/** Body of a call for the own server, and the function that gives its memory back. */
export interface ServerBody {
  readonly kind: 'body';
  readonly body: AsyncIterable<Uint8Array>;
  release(): void;
}

/** Either the body of a call or the refusal of a call that has not run. */
export type ServerBodyResult =
  ServerBody | { readonly kind: 'refusal'; readonly refusal: CallRefusal };

/** Returns the length of a call's body, or 0 if it has none or its length is not known. */
const bodyBytesOf = ({ headers }: CallOpen): number =>
  Number(headers.find(([name]) => name === 'content-length')?.[1] ?? 0) || 0;

/** Reads a body to its end; one that is not complete at the deadline fails. */
const readWhole = async (
  body: AsyncIterable<Uint8Array>,
  deadlineAtMs: number,
): Promise<BodyChannel> => {
  const iterator = body[Symbol.asyncIterator]();
  const timer = setTimeout(
    () => {
      iterator.return?.().catch(() => undefined);
    },
    Math.max(0, deadlineAtMs - monotonicNowMs()),
  );
  const chunks: Uint8Array[] = [];
  try {
    for (let next = await iterator.next(); next.done !== true; next = await iterator.next()) {
      chunks.push(next.value);
    }
  } finally {
    clearTimeout(timer);
  }
  return BodyChannel.of(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks));
};

/**
 * Holds the large bodies of calls to the own server. A body that can be held whole is read to its end
 * before its call is admitted, so that a slow sender takes no slot. All large bodies that run or wait
 * count, since the server holds them in its memory.
 */
export class ServerBodies {
  constructor(private readonly memory: BodyMemory) {}

  /** Whether a call has a large body; other calls are admitted before their body is there. */
  isLarge(open: CallOpen): boolean {
    return bodyBytesOf(open) > replayableBodyMaxBytes;
  }

  /** Takes memory for a large body and reads it; refuses the call as not run if there is none. */
  async receive(open: CallOpen, body: AsyncIterable<Uint8Array>): Promise<ServerBodyResult> {
    const bytes = bodyBytesOf(open);
    const { node, server, wholeBodyMaxBytes } = this.memory;
    if (!server.tryTake(bytes)) {
      server.recordRefusal();
      return { kind: 'refusal', refusal: createMemoryRefusal() };
    }
    const isStreamed = bytes > wholeBodyMaxBytes;
    // A body that is whole is held, and counted, by the node of its caller, which is this one.
    const isWhole = body instanceof BodyChannel && body.isSettled;
    const nodeBytes = isStreamed || isWhole ? 0 : bytes;
    if (nodeBytes > 0 && !node.tryTake(nodeBytes)) {
      server.release(bytes);
      node.recordRefusal();
      return { kind: 'refusal', refusal: createMemoryRefusal() };
    }
    const release = (): void => {
      server.release(bytes);
      node.release(nodeBytes);
    };
    if (nodeBytes === 0) return { kind: 'body', body, release };
    try {
      return { kind: 'body', body: await readWhole(body, open.deadlineAtMs), release };
    } catch {
      release();
      const detail = 'the request body did not arrive';
      return { kind: 'refusal', refusal: createNotRunRefusal(RefusalReason.Cancelled, detail) };
    }
  }
}
