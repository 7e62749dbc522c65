import { hashText32 } from '@sequoiafield/membership';
import { monotonicNowMs } from '@sequoiafield/tables';
import { MemberState, takesNewWork, type MemberRow, type MemberView } from '@sequoiafield/types';

/** Interval between selections; each one reads every member. */
const selectionIntervalMs = 300;
/** Collectors of each group; the counts of a failed one are at the other. */
const collectorsPerGroupCount = 2;
/**
 * Largest number of nodes that send their counts to the same collectors. A data centre with more is split
 * into groups, so that a collector of 1,100 nodes does not receive 2,200 messages a second.
 */
const groupNodesMax = 48;

/** Nodes of one data centre, as the selector last saw them. */
interface Selection {
  readonly candidates: readonly MemberRow[];
  /** Nodes whose backend servers may run requests, including those that drain. */
  readonly senders: readonly MemberRow[];
  readonly groupsCount: number;
}

const rankBy = (rows: readonly MemberRow[], text: string): readonly MemberRow[] =>
  rows
    .map((row) => ({ row, weight: hashText32(`${text} ${row.id}`) }))
    .sort((left, right) => right.weight - left.weight)
    .map(({ row }) => row);

/** Returns the group of a node; it depends on the id and the number of groups only. */
export const groupOf = (id: string, groupsCount: number): number =>
  hashText32(`usage group ${id}`) % groupsCount;

/** Selects who collects the counts of the nodes of the own data centre, by rendezvous hashing. */
export class CollectorSelector {
  #selection: Selection = { candidates: [], senders: [], groupsCount: 1 };

  #selectedAtMs = Number.NEGATIVE_INFINITY;

  readonly #collectors = new Map<number, readonly MemberRow[]>();

  constructor(private readonly members: MemberView) {}

  groupsCount(): number {
    return this.#current().groupsCount;
  }

  /** Collectors of a group in rendezvous order; this node may be one. */
  collectorsOf(group: number): readonly MemberRow[] {
    const { candidates } = this.#current();
    const known = this.#collectors.get(group);
    if (known) return known;
    const ranked = rankBy(candidates, `usage ${group}`).slice(0, collectorsPerGroupCount);
    this.#collectors.set(group, ranked);
    return ranked;
  }

  /** Collectors of this node's counts. */
  ownCollectors(): readonly MemberRow[] {
    return this.collectorsOf(groupOf(this.members.selfId, this.groupsCount()));
  }

  /** Ids of the nodes of a group that deliver counts. */
  senderIdsOf(group: number, groupsCount: number): readonly string[] {
    const ids = this.#current().senders.map(({ id }) => id);
    return ids.filter((id) => groupOf(id, groupsCount) === group);
  }

  /** Members that can add up the counts of another data centre, in rendezvous order. */
  addersOf(dataCentre: string): readonly MemberRow[] {
    const rows = [...this.members.all()].filter(
      (row) => row.dataCentre === dataCentre && takesNewWork(row.state),
    );
    return rankBy(rows, 'usage sum');
  }

  /** Data centres with live members, except the own one. */
  otherDataCentres(): readonly string[] {
    const own = this.#ownDataCentre();
    const names = new Set<string>();
    for (const { dataCentre, state } of this.members.all()) {
      if (dataCentre !== own && takesNewWork(state)) names.add(dataCentre);
    }
    return [...names];
  }

  #ownDataCentre(): string | undefined {
    return this.members.get(this.members.selfId)?.dataCentre;
  }

  #current(): Selection {
    const nowMs = monotonicNowMs();
    if (nowMs - this.#selectedAtMs >= selectionIntervalMs) {
      this.#selectedAtMs = nowMs;
      this.#selection = this.#select();
      this.#collectors.clear();
    }
    return this.#selection;
  }

  #select(): Selection {
    const own = this.#ownDataCentre();
    const near = [...this.members.all()].filter(({ dataCentre }) => dataCentre === own);
    const candidates = near.filter(({ state }) => takesNewWork(state));
    const draining = near.filter(({ state }) => state === MemberState.Draining);
    let groupsCount = 1;
    while (candidates.length / groupsCount > groupNodesMax) groupsCount *= 2;
    return { candidates, senders: [...candidates, ...draining], groupsCount };
  }
}
