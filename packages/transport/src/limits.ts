/** Times and sizes of the links; tests use smaller ones. */
export interface TransportLimits {
  /** Silence of a link with running exchanges after which it is pinged, and between pings. */
  readonly heartbeatMs: number;
  /** A link with heartbeats outstanding is suspected if no message arrives for longer. */
  readonly stallTimeoutMs: number;
  /** A new connection that has not exchanged its hellos within this time is closed. */
  readonly dialTimeoutMs: number;
  /** First and largest delay before the next dial after a failed one; jittered by half. */
  readonly backoffMinMs: number;
  readonly backoffMaxMs: number;
  /** A link unused for longer is not redialled. */
  readonly idleAfterMs: number;
  /** A link unused for longer is closed by the node that dialled it. */
  readonly idleCloseMs: number;
  /** An accepted connection that receives no message for longer is closed; above `idleCloseMs`. */
  readonly acceptedSilenceTimeoutMs: number;
  /** Maximum of unconsumed body bytes in one direction of one call. */
  readonly windowBytes: number;
  /** Largest body of a call in either direction. */
  readonly bodyMaxBytes: number;
}

/** Largest payload of one data frame, so that calls of one link interleave. */
export const dataFrameMaxBytes = 64 * 1024;
/** Largest WebSocket message; a section of the configuration is at most 1 MB. */
export const messageMaxBytes = 16 * 1024 * 1024;
/** A call with a later deadline is refused, because attempt ids are kept until their deadline. */
export const deadlineMaxMs = 10 * 60 * 1000;
/**
 * Attempt ids are kept this long after their deadline. Two connections may convert the same
 * deadline to local times that differ by the error of the link clock, which is less than
 * `stallTimeoutMs`.
 */
export const attemptIdRetentionMarginMs = 5000;

export const defaultTransportLimits: TransportLimits = {
  heartbeatMs: 500,
  stallTimeoutMs: 1500,
  dialTimeoutMs: 1000,
  backoffMinMs: 50,
  backoffMaxMs: 5000,
  idleAfterMs: 5000,
  idleCloseMs: 20_000,
  acceptedSilenceTimeoutMs: 45_000,
  windowBytes: 256 * 1024,
  bodyMaxBytes: 8 * 1024 * 1024,
};
