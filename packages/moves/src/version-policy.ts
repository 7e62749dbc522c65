import {
  MoveOutcome,
  RegisterKind,
  takesNewWork,
  type MemberView,
  type MoveOrder,
  type OrdersView,
  type RegisterGossip,
} from '@sequoiafield/types';
import { completedStep, moveStages, rolledBackStep, registerStepOf } from './move-stages.js';

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

/**
 * Decides which versions of a service may get calls, and in which shares. A version that appears
 * besides the established one without an order gets no calls, since its order may not be received yet.
 */
export class VersionPolicy {
  /** Version that last served without an order or completed a move, by service. */
  readonly #established = new Map<string, string>();

  constructor(private readonly dependencies: VersionPolicyDependencies) {}

  /** Progress of an order by its stored record, or by its register until the record is final. */
  progressOf(order: MoveOrder): MoveProgress {
    const record = this.dependencies.orders.current().moveRecords.get(order.service);
    const isForOrder = record?.toVersion === order.toVersion && record.revision > order.revision;
    if (isForOrder && record.outcome !== MoveOutcome.Running) return this.#ended(record.outcome);
    const rank = this.dependencies.registers.read(RegisterKind.Stage, order.service)?.rank ?? 0;
    const step = registerStepOf(order.revision, rank) ?? 0;
    if (step === completedStep) return this.#ended(MoveOutcome.Completed);
    if (step === rolledBackStep) return this.#ended(MoveOutcome.RolledBack);
    const share = moveStages[step]?.share ?? 0;
    return { outcome: MoveOutcome.Running, share, stage: step };
  }

  /** Chooses a new call's version; `roll` is uniform in [0, 1), and 1 yields the old version. */
  choose(service: string, roll: number): string | undefined {
    const counts = this.#serverCounts(service);
    const order = this.dependencies.orders.current().moves.get(service);
    const progress = order && this.progressOf(order);
    const old = this.#oldVersion(service, counts, order, progress);
    if (!order || !progress || !counts.has(order.toVersion)) return old;
    if (progress.outcome === MoveOutcome.Completed) return order.toVersion;
    const isNew = progress.outcome === MoveOutcome.Running && roll < progress.share;
    return isNew ? order.toVersion : old;
  }

  /** True if a version may get new calls. */
  isAllowed(service: string, version: string): boolean {
    const order = this.dependencies.orders.current().moves.get(service);
    const old = this.#oldVersion(
      service,
      this.#serverCounts(service),
      order,
      order && this.progressOf(order),
    );
    if (!order) return version === old;
    const { outcome } = this.progressOf(order);
    if (outcome === MoveOutcome.Completed) return version === order.toVersion;
    if (version === order.toVersion) return outcome === MoveOutcome.Running;
    return version === old;
  }

  #ended(outcome: MoveOutcome): MoveProgress {
    return { outcome, share: outcome === MoveOutcome.Completed ? 1 : 0, stage: 0 };
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

  #oldVersion(
    service: string,
    counts: ReadonlyMap<string, number>,
    order: MoveOrder | undefined,
    progress: MoveProgress | undefined,
  ): string | undefined {
    if (order && progress?.outcome === MoveOutcome.Completed) {
      this.#established.set(service, order.toVersion);
      return order.toVersion;
    }
    const established = this.#established.get(service);
    const others = [...counts].filter(([version]) => version !== order?.toVersion);
    // The version with the most servers is the one that served before. Ties go to the established
    // version, then to the first by name, so that a node that just joined chooses as the others do.
    others.sort(
      ([leftVersion, left], [rightVersion, right]) =>
        right - left ||
        Number(rightVersion === established) - Number(leftVersion === established) ||
        (leftVersion < rightVersion ? -1 : 1),
    );
    const version = others[0]?.[0];
    if (version !== undefined) this.#established.set(service, version);
    return version ?? established;
  }
}
