export { AttemptSequence } from './attempt-sequence.js';
export { AttemptVerdict, type AttemptGuard } from './attempt-guard.js';
export { BodyChannel, type BodyChannelOwner } from './body-channel.js';
export type { PeerIdentity } from './connection.js';
export { TransportCounters } from './counters.js';
export { defaultTransportLimits, type TransportLimits } from './limits.js';
export type { TransportMechanisms } from './mechanisms.js';
export { SeenAttempts } from './seen-attempts.js';
export { createTransport, Transport, type TransportOptions } from './transport.js';
