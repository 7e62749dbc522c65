export type { MembershipCounters } from './counters.js';
export type { DatagramSocket } from './datagram-socket.js';
export type { SeedAddress } from './joiner.js';
export { createMembership, type Membership, type MembershipOptions } from './membership.js';
export type { SpreadPolicy, SuspicionPolicy } from './policies.js';
export { PushAndRepairPolicy } from './push-and-repair-policy.js';
export { QuorumSuspicionPolicy } from './quorum-suspicion-policy.js';
export { hashText32 } from './hash.js';
export { headRegisterKey } from './register-table.js';
export type { GossipRow } from './gossip-row.js';
export { UdpSocket } from './udp-socket.js';
export {
  decodeMessage,
  encodeMessage,
  encodeRegister,
  encodeRow,
  encodeStateRumour,
  GossipMessageType,
  rowToTuple,
  type GossipMessage,
} from './wire.js';
