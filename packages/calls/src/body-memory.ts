import { BodyMemoryBudget } from '@sequoiafield/transport';

/** Bodies up to this size are kept in memory on all routes, so that refused attempts can be retried. */
export const replayableBodyMaxBytes = 64 * 1024;
/** Largest body that routes with large bodies keep in memory. */
const wholeBodyMaxBytes = 512 * 1024;
/** Memory for bodies of a node and of its own server if the settings name no memory. */
const nodeBytesDefault = 32 * 1024 * 1024;
const serverBytesDefault = 16 * 1024 * 1024;
/** Share of the memory of a node for bodies; its heap and its code need the rest. */
const nodeBytesShare = 1 / 8;
/** Share for the request bodies at the own server, which runs in the same memory. */
const serverBytesShare = 1 / 16;
/** One connection holds a body of at most this share of the node's memory for bodies. */
const connectionBytesShare = 1 / 16;

/** Memory that a node may use for bodies. */
export interface BodyMemory {
  /** Bodies of requests and answers that this node holds. */
  readonly node: BodyMemoryBudget;
  /** Large request bodies that run or wait at the own server. */
  readonly server: BodyMemoryBudget;
  /** Largest body that is held whole for one connection. */
  readonly wholeBodyMaxBytes: number;
  /** Largest part of an answer that is held beyond its buffer for a reader that is slow. */
  readonly answerMaxBytes: number;
}

/**
 * Creates the memory for bodies of a node whose process may use `memoryBytes`; undefined if that is
 * unknown.
 *
 * @example
 * const bodyMemory = createBodyMemory(256 * 1024 * 1024);
 */
export const createBodyMemory = (memoryBytes?: number): BodyMemory => {
  const nodeBytes = memoryBytes === undefined ? nodeBytesDefault : memoryBytes * nodeBytesShare;
  const serverBytes =
    memoryBytes === undefined ? serverBytesDefault : memoryBytes * serverBytesShare;
  const connectionBytes = Math.max(replayableBodyMaxBytes, nodeBytes * connectionBytesShare);
  return {
    node: new BodyMemoryBudget(nodeBytes),
    server: new BodyMemoryBudget(serverBytes),
    answerMaxBytes: connectionBytes,
    wholeBodyMaxBytes: Math.min(wholeBodyMaxBytes, connectionBytes),
  };
};
