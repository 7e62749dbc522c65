/** Gossip traffic of one node since its start. */
export interface MembershipCounters {
  sentDatagrams: number;
  sentBytes: number;
  receivedDatagrams: number;
  receivedBytes: number;
  /** Datagrams that were malformed or came from a foreign sender. */
  droppedDatagrams: number;
  /** Pushes that waited because the byte budget was spent. */
  deferredPushes: number;
}

/** Counters at zero. */
export const createMembershipCounters = (): MembershipCounters => ({
  sentDatagrams: 0,
  sentBytes: 0,
  receivedDatagrams: 0,
  receivedBytes: 0,
  droppedDatagrams: 0,
  deferredPushes: 0,
});
