import { createHash } from 'node:crypto';
import { MemberState, type MemberRow, type MemberView } from '@sequoiafield/types';

/**
 * Hashes a key and an id to an integer from 0 to 2^32 - 1.
 *
 * @example
 * const rank = hash32('settlement-v2', 'ath-1-a');
 */
export const hash32 = (key: string, id: string): number =>
  createHash('sha1').update(`${key}\n${id}`).digest().readUInt32BE(0);

/** True for members whose nodes can take part in the exchange of evidence. */
export const isLive = (member: MemberRow): boolean =>
  member.state === MemberState.Alive ||
  member.state === MemberState.Suspect ||
  member.state === MemberState.Draining;

/**
 * Chooses the `count` live members of a service with the highest rendezvous rank for a key. The
 * highest-ranked member of each data centre comes first, so that a network partition between data
 * centres leaves one on each side. All nodes with the same members choose the same ones.
 *
 * @example
 * const judges = chooseMembers(members, 'settlement', 'settlement-v2', 3);
 */
export const chooseMembers = (
  members: MemberView,
  service: string,
  key: string,
  count: number,
): MemberRow[] => {
  const ranked = members
    .ofService(service)
    .filter(isLive)
    .map((member) => ({ member, rank: hash32(key, member.id) }))
    .sort((left, right) => right.rank - left.rank || (left.member.id < right.member.id ? -1 : 1))
    .map((entry) => entry.member);
  const seen = new Set<string>();
  const firstOfDataCentres = ranked.filter(({ dataCentre }) => {
    const isFirst = !seen.has(dataCentre);
    seen.add(dataCentre);
    return isFirst;
  });
  const others = ranked.filter((member) => !firstOfDataCentres.includes(member));
  return [...firstOfDataCentres, ...others].slice(0, count);
};
