/** Gossip traffic of one node since its start. */
export interface MembershipCounters {
  sentDatagrams: number;
  sentBytes: number;
  /** Part of `sentBytes` that goes to members of other data centres. */
  sentFarBytes: number;
  receivedDatagrams: number;
  receivedBytes: number;
  /** Datagrams that were malformed or came from a foreign sender. */
  droppedDatagrams: number;
  /** Items of datagrams and rows of exchanges that were malformed. */
  droppedItems: number;
  /** Flushes of pending pushes that were deferred because the byte budget was exhausted. */
  deferredPushes: number;
}

/** Creates counters that are all zero. */
export const createMembershipCounters = (): MembershipCounters => ({
  sentDatagrams: 0,
  sentBytes: 0,
  sentFarBytes: 0,
  receivedDatagrams: 0,
  receivedBytes: 0,
  droppedDatagrams: 0,
  droppedItems: 0,
  deferredPushes: 0,
});
