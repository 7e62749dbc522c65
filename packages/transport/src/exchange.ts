import type { FrameKind } from './frames.js';
import type { OutboundSession } from './outbound-session.js';

/** One call attempt or request that waits for frames of its peer. */
export interface Exchange {
  /** Number that its frames carry; changes when it moves to another connection. */
  sequence: number;
  /** Writes the first frames. */
  start(session: OutboundSession): void;
  onFrame(kind: FrameKind, payload: Buffer): void;
  /**
   * The connection ended. `isWritten` is false only if no frame of it was handed to the socket.
   * Returns true if it may be started again on a new connection.
   */
  onLost(isWritten: boolean): boolean;
  /** No connection could be made, so that nothing was sent. */
  onUnreachable(detail: string, isWrongIncarnation: boolean): void;
}
