import { monotonicNowMs, wallNowUnixMs, type System } from '@sequoiafield/tables';
import type {
  AttemptReport,
  MemberRow,
  MemberView,
  RolloutView,
  RouteMatch,
  Router,
  Snapshot,
  SnapshotView,
} from '@sequoiafield/types';
import { CandidateSets, type NodeLocality } from './candidate-sets.js';
import { EjectionState } from './ejector.js';
import { MemberEligibility } from './member-filter.js';
import type { WeightedCandidate } from './member-selector.js';
import { RendezvousRanking } from './rendezvous-ranking.js';
import { RouteTable } from './route-table.js';
import type { RoutingMechanisms } from './routing-mechanisms.js';

/**
 * Candidates by health. A worse group is used when the better ones are empty; members that were
 * ejected for failures are also used when they outnumber the better ones.
 */
interface CandidateGroups {
  readonly good: WeightedCandidate[];
  readonly suspect: WeightedCandidate[];
  readonly ejectedForFailures: WeightedCandidate[];
  readonly ejectedForRefusal: WeightedCandidate[];
  readonly dead: WeightedCandidate[];
}

/** Rows of removed members only cost memory, so they may be deleted late. */
const pruneIntervalMs = 10_000;

/** Dependencies of `DefaultRouter`. */
export interface DefaultRouterDependencies {
  readonly snapshot: SnapshotView;
  readonly members: MemberView;
  readonly rollout: Pick<RolloutView, 'isAllowed'>;
}

/**
 * Router over the snapshot and the members table; see `createRouting`.
 *
 * @example
 * const member = router.choose('lager', 'v1', new Set());
 */
export class DefaultRouter implements Router, System {
  readonly name = 'routing';

  readonly #candidateSets: CandidateSets;

  readonly #ranking: RendezvousRanking;

  #prunedAtMs = 0;

  #compiledSnapshot: Snapshot | undefined;

  #table: RouteTable | undefined;

  constructor(
    private readonly locality: NodeLocality,
    private readonly dependencies: DefaultRouterDependencies,
    private readonly mechanisms: RoutingMechanisms,
  ) {
    this.#ranking = new RendezvousRanking(locality.selfId);
    this.#candidateSets = new CandidateSets(
      locality,
      dependencies.members,
      mechanisms.filter,
      this.#ranking,
      (snapshot, dataCentre) =>
        mechanisms.weights.weightOf(snapshot, dataCentre, wallNowUnixMs()) > 0,
    );
  }

  /** Updates the subsets and deletes the state of removed members. */
  run(): void {
    this.#candidateSets.run();
    const nowMs = monotonicNowMs();
    if (nowMs - this.#prunedAtMs < pruneIntervalMs) return;
    this.#prunedAtMs = nowMs;
    const isKnown = (id: string): boolean => this.dependencies.members.get(id) !== undefined;
    this.#ranking.prune(isKnown);
    this.mechanisms.ejector.prune(isKnown);
    this.mechanisms.loads.prune(isKnown);
  }

  match(method: string, path: string): RouteMatch | undefined {
    const snapshot = this.dependencies.snapshot.current();
    if (!snapshot) return undefined;
    if (snapshot !== this.#compiledSnapshot) {
      this.#compiledSnapshot = snapshot;
      this.#table = new RouteTable(snapshot);
    }
    const entry = this.#table?.find(method, path);
    if (!entry) return undefined;
    const section = snapshot.services.get(entry.service);
    if (!section) {
      this.dependencies.snapshot.requestSection(entry.service);
      return undefined;
    }
    const route = section.routes.find(({ name }) => name === entry.name);
    return route && { route, service: section.service };
  }

  choose(
    service: string,
    backendVersion: string,
    triedIds: ReadonlySet<string>,
  ): MemberRow | undefined {
    const snapshot = this.dependencies.snapshot.current();
    if (!snapshot || !this.dependencies.rollout.isAllowed(service, backendVersion))
      return undefined;
    const weighted = this.#weigh(snapshot, service, backendVersion);
    if (weighted.length === 0) this.#candidateSets.invalidate(service);
    const candidates =
      weighted.length > 0 ? weighted : this.#weigh(snapshot, service, backendVersion);
    const untried = candidates.filter(({ row }) => !triedIds.has(row.id));
    return this.#chooseFrom(untried.length > 0 ? untried : candidates);
  }

  begin(memberId: string): void {
    this.mechanisms.loads.begin(memberId);
    this.mechanisms.ejector.begin(memberId);
  }

  report(report: AttemptReport): void {
    this.mechanisms.loads.report(report);
    this.mechanisms.ejector.report(report);
  }

  recordFirstAttempt(service: string): void {
    this.mechanisms.budget.recordFirstAttempt(service);
  }

  takeRetry(service: string, budgetPercent: number): boolean {
    return this.mechanisms.budget.takeRetry(service, budgetPercent);
  }

  #weigh(
    snapshot: Snapshot,
    service: string,
    backendVersion: string,
  ): readonly WeightedCandidate[] {
    const slots = snapshot.services.get(service)?.service.slots ?? 1;
    const nowUnixMs = wallNowUnixMs();
    const weighed: WeightedCandidate[] = [];
    for (const { memberId, tier } of this.#candidateSets.candidatesOf(
      snapshot,
      service,
      backendVersion,
    )) {
      const row = this.dependencies.members.get(memberId);
      // The row may have changed since the subset was built.
      if (!row || row.backendVersion !== backendVersion) continue;
      if (this.mechanisms.filter.eligibilityOf(row) === MemberEligibility.Ineligible) continue;
      const weight = this.mechanisms.weights.weightOf(snapshot, row.dataCentre, nowUnixMs);
      if (weight <= 0) continue;
      const loadRatio = this.mechanisms.loads.loadRatioOf(memberId, slots);
      weighed.push({ row, tier, weight, loadRatio });
    }
    return weighed;
  }

  #group(candidates: readonly WeightedCandidate[]): CandidateGroups {
    const groups: CandidateGroups = {
      good: [],
      suspect: [],
      ejectedForFailures: [],
      ejectedForRefusal: [],
      dead: [],
    };
    for (const candidate of candidates) this.#groupOf(groups, candidate.row).push(candidate);
    return groups;
  }

  #groupOf(groups: CandidateGroups, row: MemberRow): WeightedCandidate[] {
    const eligibility = this.mechanisms.filter.eligibilityOf(row);
    if (eligibility === MemberEligibility.Dead) return groups.dead;
    switch (this.mechanisms.ejector.ejectionStateOf(row.id, row.incarnation)) {
      case EjectionState.EjectedForFailures:
        return groups.ejectedForFailures;
      case EjectionState.EjectedForRefusal:
        return groups.ejectedForRefusal;
      default:
        return eligibility === MemberEligibility.Suspect ? groups.suspect : groups.good;
    }
  }

  #chooseFrom(candidates: readonly WeightedCandidate[]): MemberRow | undefined {
    const { good, suspect, ejectedForFailures, ejectedForRefusal, dead } = this.#group(candidates);
    let usable = good.length > 0 ? good : suspect;
    // When most members fail calls, the cause is probably the route or the version. Without the
    // failing members, the few others would be overloaded by all calls.
    const isMostlyFailing = usable.length < ejectedForFailures.length;
    if (usable.length > 0 && isMostlyFailing) usable = [...usable, ...ejectedForFailures];
    if (usable.length > 0) {
      return this.mechanisms.memberSelector.choose(usable, this.locality.selfId)?.row;
    }
    return (
      this.#leastSevere([...ejectedForFailures, ...ejectedForRefusal]) ?? this.#leastSevere(dead)
    );
  }

  /** Fails open: a wrong view of this node is more likely than members that are all unusable. */
  #leastSevere(candidates: readonly WeightedCandidate[]): MemberRow | undefined {
    const severity = ({ row, loadRatio }: WeightedCandidate): number =>
      this.mechanisms.ejector.ejectionSeverityOf(row.id) + Math.min(0.99, loadRatio / 100);
    const sorted = [...candidates].sort((left, right) => severity(left) - severity(right));
    return sorted[0]?.row;
  }
}
