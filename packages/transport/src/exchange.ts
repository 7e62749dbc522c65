import type { FrameKind } from './frames.js';
import type { OutboundSession } from './outbound-session.js';

/** One call attempt or request that expects frames from its peer. */
export interface Exchange {
  /** Number that its frames carry; an attempt that is resent on a new connection gets a new one. */
  sequence: number;
  /** Writes the first frames to the session's connection. */
  start(session: OutboundSession): void;
  onFrame(kind: FrameKind, payload: Buffer): void;
  /**
   * Called when the connection ended; `isWritten` is false only if no frame of this exchange was
   * handed to the socket. Returns true if the exchange may be started again on a new connection.
   */
  onLost(isWritten: boolean): boolean;
  /** Called when no connection could be made, so that the queued exchange was not sent. */
  onUnreachable(detail: string, isWrongIncarnation: boolean): void;
}
