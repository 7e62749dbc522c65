import { monotonicNowMs, type System } from '@sequoiafield/tables';
import {
  tickIntervalMs,
  type MemberRow,
  type MemberView,
  type Snapshot,
} from '@sequoiafield/types';
import { MemberEligibility, type MemberFilter } from './member-filter.js';
import type { RendezvousRanking } from './rendezvous-ranking.js';

/** Distance of a candidate; lower tiers go first. */
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

/** Members of a large service that one caller uses per tier; bounds its connections. */
export const subsetSizeByTier: Readonly<Record<LocalityTier, number>> = {
  [LocalityTier.OwnDataCentre]: 12,
  [LocalityTier.OwnRegion]: 8,
  [LocalityTier.OtherRegion]: 4,
};
/** Sets of services without a call for this long are no longer kept up to date. */
const unusedAfterMs = 60_000;

type SeenRow = Pick<MemberRow, 'incarnation' | 'state' | 'backendVersion' | 'dataCentre'>;

interface ServiceSets {
  rows: readonly MemberRow[];
  /** What counted of each row when the sets were built; rows are changed in place. */
  seen: readonly SeenRow[];
  snapshot: Snapshot | undefined;
  byVersion: Map<string, readonly Candidate[]>;
  usedAtMs: number;
  checkedAtMs: number;
}

/** Place of this node. */
export interface NodeLocality {
  readonly selfId: string;
  readonly dataCentre: string;
  readonly region: string;
}

const copySeen = ({ incarnation, state, backendVersion, dataCentre }: MemberRow): SeenRow => ({
  incarnation,
  state,
  backendVersion,
  dataCentre,
});

const isUnchanged = (row: MemberRow, seen: SeenRow | undefined): boolean =>
  seen !== undefined &&
  row.state === seen.state &&
  row.incarnation === seen.incarnation &&
  row.backendVersion === seen.backendVersion &&
  row.dataCentre === seen.dataCentre;

/**
 * Subsets of each service's members, kept per backend version. They are rebuilt only when the
 * members of the service or the snapshot changed, which is looked up once per tick.
 *
 * @example
 * const sets = new CandidateSets(place, members, filter, ranking, isInDataCentre);
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
    /** Whether a data centre takes new work at all in a snapshot. */
    private readonly isDataCentreIn: (snapshot: Snapshot, dataCentre: string) => boolean,
  ) {}

  run(): void {
    const nowMs = monotonicNowMs();
    for (const [service, sets] of this.#services) {
      if (nowMs - sets.usedAtMs > unusedAfterMs) this.#services.delete(service);
      else this.#check(service, nowMs);
    }
  }

  candidatesOf(snapshot: Snapshot, service: string, backendVersion: string): readonly Candidate[] {
    const nowMs = monotonicNowMs();
    const sets = this.#ensureSets(service);
    sets.usedAtMs = nowMs;
    if (nowMs - sets.checkedAtMs >= 2 * tickIntervalMs) this.#check(service, nowMs);
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

  /** Looks the members up again at the next use, for a caller that found no usable one. */
  invalidate(service: string): void {
    const sets = this.#services.get(service);
    if (sets) sets.checkedAtMs = Number.NEGATIVE_INFINITY;
  }

  #ensureSets(service: string): ServiceSets {
    const known = this.#services.get(service);
    if (known) return known;
    const sets: ServiceSets = {
      rows: [],
      seen: [],
      snapshot: undefined,
      byVersion: new Map(),
      usedAtMs: 0,
      checkedAtMs: Number.NEGATIVE_INFINITY,
    };
    this.#services.set(service, sets);
    return sets;
  }

  #check(service: string, nowMs: number): void {
    const sets = this.#ensureSets(service);
    sets.checkedAtMs = nowMs;
    const rows = this.members.ofService(service);
    const isSame =
      rows.length === sets.rows.length &&
      rows.every((row, index) => row === sets.rows[index] && isUnchanged(row, sets.seen[index]));
    if (isSame) return;
    sets.rows = [...rows];
    sets.seen = rows.map(copySeen);
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
        this.isDataCentreIn(snapshot, row.dataCentre),
    );
    const living = usable.filter(
      (row) => this.filter.eligibilityOf(row) !== MemberEligibility.Dead,
    );
    // Dead members are candidates only when no other is left.
    const chosen = living.length > 0 ? living : usable;
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
