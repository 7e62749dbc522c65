export type { MembershipCounters } from './counters.js';
export type { DatagramPort } from './datagram-port.js';
export type { SeedAddress } from './joiner.js';
export { createMembership, type Membership, type MembershipOptions } from './membership.js';
export type { SpreadPolicy, SuspicionPolicy } from './policies.js';
export { PushAndRepair } from './push-and-repair.js';
export { QuorumSuspicion } from './quorum-suspicion.js';
export { hashText } from './hash.js';
export { headKey } from './register-table.js';
export type { GossipRow } from './gossip-row.js';
export { UdpPort } from './udp-port.js';
export {
  decodeMessage,
  encodeMessage,
  encodeRegister,
  encodeRow,
  encodeState,
  MessageType,
  rowToTuple,
  type Message,
} from './wire.js';
