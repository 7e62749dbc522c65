/** Times and sizes of the links; tests shorten them. */
export interface TransportLimits {
  /** Interval of heartbeats on a link that carried calls lately. */
  readonly heartbeatMs: number;
  /** A link with outstanding heartbeats that stays silent for longer is suspected. */
  readonly stallTimeoutMs: number;
  /** A new connection must have exchanged its hellos within this time. */
  readonly dialTimeoutMs: number;
  /** First and largest wait before the next dial after a failed one; jittered by half. */
  readonly backoffMinMs: number;
  readonly backoffMaxMs: number;
  /** A link unused for longer gets heartbeats at `idleHeartbeatMs` and is not dialled again. */
  readonly idleAfterMs: number;
  readonly idleHeartbeatMs: number;
  /** A link unused for longer is closed by the node that dialled it. */
  readonly idleCloseMs: number;
  /** An accepted connection that is silent for longer is closed. */
  readonly acceptedSilenceTimeoutMs: number;
  /** Body bytes in flight for one direction of one call. */
  readonly windowBytes: number;
  /** Largest body in either direction. */
  readonly bodyMaxBytes: number;
}

/** Largest payload of one data frame, so that calls of one link interleave. */
export const dataFrameMaxBytes = 64 * 1024;
/** Largest WebSocket message; a section of the configuration is at most 1 MB. */
export const messageMaxBytes = 16 * 1024 * 1024;
/** A deadline further away is refused, since attempt ids are kept until their deadline. */
export const deadlineMaxMs = 10 * 60 * 1000;
/**
 * Attempt ids are kept this much longer than their deadline. Two connections may place one
 * deadline differently by the error of the link clock, which is under the stall limit.
 */
export const attemptIdRetentionMarginMs = 5000;

export const defaultTransportLimits: TransportLimits = {
  heartbeatMs: 500,
  stallTimeoutMs: 1500,
  dialTimeoutMs: 1000,
  backoffMinMs: 50,
  backoffMaxMs: 5000,
  idleAfterMs: 5000,
  idleHeartbeatMs: 5000,
  idleCloseMs: 60_000,
  acceptedSilenceTimeoutMs: 15_000,
  windowBytes: 256 * 1024,
  bodyMaxBytes: 8 * 1024 * 1024,
};
