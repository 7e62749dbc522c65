/** Counts of a transport since its start; the node exports them as metrics. */
export class TransportCounters {
  /** Frames for an attempt that is over or was never sent on that connection. */
  lateFramesDropped = 0;

  /** Frames that do not fit the state of their attempt, such as a second answer. */
  crossedFramesDropped = 0;

  /** Open frames whose attempt id was seen before. */
  duplicateOpensDropped = 0;

  /** Open frames refused for their deadline or incarnation. */
  opensRefused = 0;

  /** Attempts sent again on the connection that replaced a silent one. */
  attemptsMoved = 0;

  connectionsLost = 0;

  messagesSent = 0;

  framesSent = 0;
}
