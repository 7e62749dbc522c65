import type { MemberRow, MemberView } from '@sequoiafield/types';
import type { WatcherSelector } from './watcher-selector.js';

/**
 * Returns the peers to ask for a revision that `fromId` announced, in order: a sender in the own data
 * centre and then the relay there; or the relay first and then a remote sender, because traffic between
 * data centres is expensive.
 *
 * @example
 * for (const peer of selectFetchPeers(members, watchers, fromId)) await exchange.fetchFrom(peer, 7);
 */
export const selectFetchPeers = (
  members: MemberView,
  watchers: WatcherSelector,
  fromId: string,
): readonly MemberRow[] => {
  const self = members.get(members.selfId);
  const sender = members.get(fromId);
  const relay = watchers.ownDataCentreRelays().find(({ id }) => id !== members.selfId);
  const isSenderLocal = sender?.dataCentre === self?.dataCentre;
  const peers = isSenderLocal ? [sender, relay] : [relay, sender];
  return [...new Set(peers.filter((peer) => peer !== undefined))];
};
