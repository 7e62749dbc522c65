/** Counts of a transport since its start; the node exports them as metrics. */
export class TransportCounters {
  /** Frames for an attempt that has ended or was never sent on that connection. */
  lateFramesDropped = 0;

  /** Frames that are invalid in the current state of their attempt, such as a second answer. */
  crossedFramesDropped = 0;

  /** Open frames whose attempt id was already received. */
  duplicateOpensDropped = 0;

  /** Open frames refused because of their deadline or incarnation. */
  opensRefused = 0;

  /** Attempts sent again on the connection that replaced a silent one. */
  attemptsMoved = 0;

  connectionsLost = 0;

  messagesSent = 0;

  framesSent = 0;
}
