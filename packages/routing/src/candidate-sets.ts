import { monotonicNowMs, type System } from '@sequoiafield/tables';
import {
  tickIntervalMs,
  type MemberRow,
  type MemberView,
  type Snapshot,
} from '@sequoiafield/types';
import { MemberEligibility, type MemberFilter } from './member-filter.js';
import type { RendezvousRanking } from './rendezvous-ranking.js';

/** Distance of a candidate; lower tiers are preferred. */
export enum LocalityTier {
  OwnDataCentre = 0,
  OwnRegion = 1,
  OtherRegion = 2,
}

/** Member that this caller may use for a service, with its distance. */
export interface Candidate {
  readonly memberId: string;
  readonly tier: LocalityTier;
}

/** Members of a service that one caller uses per tier at most; bounds its connections. */
export const subsetSizeByTier: Readonly<Record<LocalityTier, number>> = {
  [LocalityTier.OwnDataCentre]: 12,
  [LocalityTier.OwnRegion]: 8,
  [LocalityTier.OtherRegion]: 4,
};
/** Sets of a service without a call for this long are deleted. */
const unusedAfterMs = 60_000;

type RowFields = Pick<MemberRow, 'incarnation' | 'state' | 'backendVersion' | 'dataCentre'>;

interface ServiceSets {
  rows: readonly MemberRow[];
  /** Fields of each row at the last change of the members, since rows are modified in place. */
  checkedFields: readonly RowFields[];
  snapshot: Snapshot | undefined;
  byVersion: Map<string, readonly Candidate[]>;
  usedAtMs: number;
  checkedAtMs: number;
}

/** Location of this node. */
export interface NodeLocality {
  readonly selfId: string;
  readonly dataCentre: string;
  readonly region: string;
}

const copyRowFields = ({
  incarnation,
  state,
  backendVersion,
  dataCentre,
}: MemberRow): RowFields => ({
  incarnation,
  state,
  backendVersion,
  dataCentre,
});

const isUnchanged = (row: MemberRow, checkedFields: RowFields | undefined): boolean =>
  checkedFields !== undefined &&
  row.state === checkedFields.state &&
  row.incarnation === checkedFields.incarnation &&
  row.backendVersion === checkedFields.backendVersion &&
  row.dataCentre === checkedFields.dataCentre;

/**
 * Subsets of each service's members, kept per backend version. They are rebuilt only when the
 * members of the service or the snapshot changed, which is checked once per tick.
 *
 * @example
 * const sets = new CandidateSets(locality, members, filter, ranking, isDataCentreUsable);
 * sets.candidatesOf(snapshot, 'lager', 'v1');
 */
export class CandidateSets implements System {
  readonly name = 'routing-subsets';

  readonly #services = new Map<string, ServiceSets>();

  constructor(
    private readonly locality: NodeLocality,
    private readonly members: MemberView,
    private readonly filter: MemberFilter,
    private readonly ranking: RendezvousRanking,
    /** Whether a data centre takes any new work in a snapshot. */
    private readonly isDataCentreUsable: (snapshot: Snapshot, dataCentre: string) => boolean,
  ) {}

  run(): void {
    const nowMs = monotonicNowMs();
    for (const [service, sets] of this.#services) {
      if (nowMs - sets.usedAtMs > unusedAfterMs) this.#services.delete(service);
      else this.#checkMembers(service, nowMs);
    }
  }

  candidatesOf(snapshot: Snapshot, service: string, backendVersion: string): readonly Candidate[] {
    const nowMs = monotonicNowMs();
    const sets = this.#ensureSets(service);
    sets.usedAtMs = nowMs;
    if (nowMs - sets.checkedAtMs >= 2 * tickIntervalMs) this.#checkMembers(service, nowMs);
    if (sets.snapshot !== snapshot) {
      sets.snapshot = snapshot;
      sets.byVersion.clear();
    }
    const known = sets.byVersion.get(backendVersion);
    if (known) return known;
    const built = this.#build(sets.rows, snapshot, backendVersion);
    sets.byVersion.set(backendVersion, built);
    return built;
  }

  /** Makes the next use check the members again; called when no usable member was found. */
  invalidate(service: string): void {
    const sets = this.#services.get(service);
    if (sets) sets.checkedAtMs = Number.NEGATIVE_INFINITY;
  }

  #ensureSets(service: string): ServiceSets {
    const known = this.#services.get(service);
    if (known) return known;
    const sets: ServiceSets = {
      rows: [],
      checkedFields: [],
      snapshot: undefined,
      byVersion: new Map(),
      usedAtMs: 0,
      checkedAtMs: Number.NEGATIVE_INFINITY,
    };
    this.#services.set(service, sets);
    return sets;
  }

  #checkMembers(service: string, nowMs: number): void {
    const sets = this.#ensureSets(service);
    sets.checkedAtMs = nowMs;
    const rows = this.members.ofService(service);
    const isSame =
      rows.length === sets.rows.length &&
      rows.every(
        (row, index) => row === sets.rows[index] && isUnchanged(row, sets.checkedFields[index]),
      );
    if (isSame) return;
    sets.rows = [...rows];
    sets.checkedFields = rows.map(copyRowFields);
    sets.byVersion.clear();
  }

  #build(
    rows: readonly MemberRow[],
    snapshot: Snapshot,
    backendVersion: string,
  ): readonly Candidate[] {
    const usable = rows.filter(
      (row) =>
        row.backendVersion === backendVersion &&
        this.filter.eligibilityOf(row) !== MemberEligibility.Ineligible &&
        this.isDataCentreUsable(snapshot, row.dataCentre),
    );
    const notDead = usable.filter(
      (row) => this.filter.eligibilityOf(row) !== MemberEligibility.Dead,
    );
    // Dead members are candidates only when no other is left.
    const chosen = notDead.length > 0 ? notDead : usable;
    const tiers = [LocalityTier.OwnDataCentre, LocalityTier.OwnRegion, LocalityTier.OtherRegion];
    return tiers.flatMap((tier) => {
      const ids = chosen.filter((row) => this.#tierOf(row) === tier).map((row) => row.id);
      return this.ranking.top(ids, subsetSizeByTier[tier]).map((memberId) => ({ memberId, tier }));
    });
  }

  #tierOf(row: MemberRow): LocalityTier {
    if (row.dataCentre === this.locality.dataCentre) return LocalityTier.OwnDataCentre;
    return row.region === this.locality.region ? LocalityTier.OwnRegion : LocalityTier.OtherRegion;
  }
}
