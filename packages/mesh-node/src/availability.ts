import type { Membership } from '@sequoiafield/membership';
import type { Orders } from '@sequoiafield/orders';
import { monotonicNowMs } from '@sequoiafield/tables';

/** Time without any answer, either of a peer or of the store, after which orders may be outdated. */
const staleAfterMs = 3000;
/** Time without an answer of a peer after which a node is not ready; it probes once a second. */
const disconnectedAfterMs = 3500;

/** Whether a node can serve callers. */
export interface Availability {
  /** Whether the configuration is known and a peer or the store has answered recently. */
  isServing(): boolean;
  /** Whether peers answer this node, or it has none. */
  isConnected(): boolean;
}

/** Creates the checks of whether a node can serve callers. */
export const createAvailability = (membership: Membership, orders: Orders): Availability => {
  const sincePeerAnswerMs = (): number => monotonicNowMs() - membership.lastGossipAckAtMs();
  const isAlone = (): boolean => membership.view.fleetSize() <= 1;
  const sinceStoreAnswerMs = (): number => monotonicNowMs() - orders.lastStoreAnswerAtMs();
  return {
    isServing: () =>
      orders.view.current().configuration !== undefined &&
      Math.min(sincePeerAnswerMs(), sinceStoreAnswerMs()) < staleAfterMs,
    isConnected: () => isAlone() || sincePeerAnswerMs() < disconnectedAfterMs,
  };
};
