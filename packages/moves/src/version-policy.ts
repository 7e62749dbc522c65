import {
  MoveOutcome,
  RegisterKind,
  takesNewWork,
  type MemberView,
  type MeshOrders,
  type MoveOrder,
  type OrdersView,
  type RegisterEntry,
  type RegisterGossip,
} from '@sequoiafield/types';
import { EstablishedVersions, isRecordOf } from './established-versions.js';
import {
  completedStep,
  moveStages,
  orderRevisionOf,
  registerStepOf,
  rolledBackStep,
} from './move-stages.js';

/** Dependencies of a version policy. */
export interface VersionPolicyDependencies {
  readonly orders: OrdersView;
  readonly members: MemberView;
  readonly registers: RegisterGossip;
}

/** Progress of a move in this node's view. */
export interface MoveProgress {
  readonly outcome: MoveOutcome;
  /** Share of the new version, 0 to 1. */
  readonly share: number;
  /** Index in `moveStages` while the move runs; 0 afterwards. */
  readonly stage: number;
}

/** Decision about the versions of one service, and what it was made from. */
interface ServiceDecision {
  readonly membersRevision: number;
  readonly orders: MeshOrders;
  readonly register: RegisterEntry | undefined;
  readonly counts: ReadonlyMap<string, number>;
  readonly order: MoveOrder | undefined;
  readonly progress: MoveProgress | undefined;
  readonly oldVersion: string | undefined;
}

/**
 * Decides which versions of a service may get calls, and in which shares. A version that appears
 * besides the established one without an order gets no calls, since its order may not be received yet.
 */
export class VersionPolicy {
  readonly #established: EstablishedVersions;

  readonly #decisions = new Map<string, ServiceDecision>();

  constructor(private readonly dependencies: VersionPolicyDependencies) {
    this.#established = new EstablishedVersions(dependencies);
  }

  /** Progress of an order by its stored record, or by its register until the record is final. */
  progressOf(order: MoveOrder): MoveProgress {
    const record = this.dependencies.orders.current().moveRecords.get(order.service);
    const isForOrder = record !== undefined && isRecordOf(record, order);
    if (isForOrder && record.outcome !== MoveOutcome.Running) return this.#ended(record.outcome);
    const rank = this.dependencies.registers.read(RegisterKind.Stage, order.service)?.rank ?? 0;
    // The register of a later order arrives before that order if this node is behind.
    const isSuperseded = orderRevisionOf(rank) > order.revision;
    if (isSuperseded) return { outcome: MoveOutcome.Running, share: 0, stage: 0 };
    const step = registerStepOf(order.revision, rank) ?? 0;
    if (step === completedStep) return this.#ended(MoveOutcome.Completed);
    if (step === rolledBackStep) return this.#ended(MoveOutcome.RolledBack);
    const share = moveStages[step]?.share ?? 0;
    return { outcome: MoveOutcome.Running, share, stage: step };
  }

  /** Chooses a new call's version; `roll` is uniform in [0, 1), and 1 yields the old version. */
  choose(service: string, roll: number): string | undefined {
    const { counts, order, progress, oldVersion } = this.#decisionOf(service);
    if (!order || !progress || !counts.has(order.toVersion)) return oldVersion;
    if (progress.outcome === MoveOutcome.Completed) return order.toVersion;
    const isNew = progress.outcome === MoveOutcome.Running && roll < progress.share;
    return isNew ? order.toVersion : oldVersion;
  }

  /** True if a version may get new calls. */
  isAllowed(service: string, version: string): boolean {
    const { order, progress, oldVersion } = this.#decisionOf(service);
    if (version === oldVersion) return true;
    if (version !== order?.toVersion || !progress) return false;
    return progress.outcome === MoveOutcome.Running && progress.share > 0;
  }

  /** Version that the service runs besides a move, as far as this node knows it. */
  establishedVersion(service: string): string | undefined {
    return this.#established.of(service);
  }

  /** Versions whose servers take new work. */
  versionsWithServers(service: string): readonly string[] {
    return [...this.#decisionOf(service).counts.keys()];
  }

  #ended(outcome: MoveOutcome): MoveProgress {
    return { outcome, share: outcome === MoveOutcome.Completed ? 1 : 0, stage: 0 };
  }

  /** Returns the last decision until members, orders or the register of the service change. */
  #decisionOf(service: string): ServiceDecision {
    const membersRevision = this.dependencies.members.revision();
    const orders = this.dependencies.orders.current();
    const register = this.dependencies.registers.read(RegisterKind.Stage, service);
    const known = this.#decisions.get(service);
    const isCurrent =
      known?.membersRevision === membersRevision &&
      known.orders === orders &&
      known.register === register;
    if (isCurrent) return known;
    const counts = this.#serverCounts(service);
    const order = orders.moves.get(service);
    const progress = order && this.progressOf(order);
    const oldVersion = this.#chooseOldVersion(service, counts, order, progress);
    const inputs = { membersRevision, orders, register };
    const decision = { ...inputs, counts, order, progress, oldVersion };
    this.#decisions.set(service, decision);
    return decision;
  }

  /** Number of servers that take new work, by version. */
  #serverCounts(service: string): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const { state, backendVersion } of this.dependencies.members.ofService(service)) {
      if (!takesNewWork(state)) continue;
      counts.set(backendVersion, (counts.get(backendVersion) ?? 0) + 1);
    }
    return counts;
  }

  #chooseOldVersion(
    service: string,
    counts: ReadonlyMap<string, number>,
    order: MoveOrder | undefined,
    progress: MoveProgress | undefined,
  ): string | undefined {
    if (order && progress) this.#established.trackOrder(order, progress.outcome);
    if (order && progress?.outcome === MoveOutcome.Completed) return order.toVersion;
    const established = this.#established.of(service);
    // While an order stands, a version that no completed move brought in never takes the place of the
    // established one, whose servers may only be slower to come back after a restart of all nodes.
    if (established !== undefined && (order || counts.has(established))) return established;
    // The number of servers shows a version only if its service is not known yet, or runs without orders
    // and has lost all servers of the established version. Ties go to the first by name, so that all
    // nodes choose the same.
    const others = [...counts].filter(
      ([version]) => !this.#established.isUnproven(service, version),
    );
    others.sort(
      ([leftVersion, left], [rightVersion, right]) =>
        right - left || (leftVersion < rightVersion ? -1 : 1),
    );
    const version = others[0]?.[0];
    if (version !== undefined && others.length === 1) this.#established.observe(service, version);
    return version ?? established;
  }
}
