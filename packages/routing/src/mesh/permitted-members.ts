import type { RandomSource } from '@sequoiafield/tables';
import {
  takesNewWork,
  type MemberRow,
  type MemberView,
  type OrdersView,
} from '@sequoiafield/types';

/** Members of one version of a service that the orders permit, by distance and in no order. */
export interface MembersByDistance {
  readonly near: MemberRow[];
  readonly far: MemberRow[];
}

/**
 * Lists the members of a service that may get a call. A list is built again only after a change of the
 * members or orders, because a service of a large fleet has over a hundred members and a node chooses
 * one for every call.
 *
 * @example
 * const { near, far } = new PermittedMembers('attiki-a', members, orders).of('tab-view', 'v1');
 */
export class PermittedMembers {
  readonly #lists = new Map<string, MembersByDistance>();

  #membersRevision = -1;

  #evacuated: ReadonlySet<string> = new Set();

  constructor(
    private readonly dataCentre: string,
    private readonly members: MemberView,
    private readonly orders: OrdersView,
  ) {}

  of(service: string, backendVersion: string): MembersByDistance {
    const revision = this.members.revision();
    const { evacuatedDataCentres } = this.orders.current();
    if (revision !== this.#membersRevision || evacuatedDataCentres !== this.#evacuated) {
      this.#lists.clear();
      this.#membersRevision = revision;
      this.#evacuated = evacuatedDataCentres;
    }
    const key = `${service} ${backendVersion}`;
    let lists = this.#lists.get(key);
    if (!lists) {
      lists = this.#build(service, backendVersion);
      this.#lists.set(key, lists);
    }
    return lists;
  }

  #build(service: string, backendVersion: string): MembersByDistance {
    const lists: MembersByDistance = { near: [], far: [] };
    for (const row of this.members.ofService(service)) {
      const isPermitted = takesNewWork(row.state) && !this.#evacuated.has(row.dataCentre);
      if (!isPermitted || row.backendVersion !== backendVersion) continue;
      (row.dataCentre === this.dataCentre ? lists.near : lists.far).push(row);
    }
    return lists;
  }
}

/**
 * Draws up to `countMax` of the rows that are usable, each with the same chance. Reorders `rows`; asks
 * `isUsable` only for as many as it takes.
 *
 * @example
 * const compared = drawMembers(near, 8, ({ id }) => !triedIds.has(id), random);
 */
export const drawMembers = (
  rows: MemberRow[],
  countMax: number,
  isUsable: (row: MemberRow) => boolean,
  random: RandomSource,
): MemberRow[] => {
  const reordered = rows;
  const drawn: MemberRow[] = [];
  for (let index = 0; index < reordered.length && drawn.length < countMax; index++) {
    const other = index + random.nextInt(reordered.length - index);
    const row = reordered[other]!;
    reordered[other] = reordered[index]!;
    reordered[index] = row;
    if (isUsable(row)) drawn.push(row);
  }
  return drawn;
};
