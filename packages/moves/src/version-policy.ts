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

/** What the policy reads. */
export interface VersionPolicyDependencies {
  readonly orders: OrdersView;
  readonly members: MemberView;
  readonly registers: RegisterGossip;
}

/** How far a move is, as this node knows it. */
export interface MoveProgress {
  readonly outcome: MoveOutcome;
  /** Share of the new version, 0 to 1. */
  readonly share: number;
  /** Index in `moveStages` while it runs. */
  readonly stage: number;
}

/**
 * Which versions of a service may get calls, and in which shares. A version that appears beside the
 * known one without an order gets nothing: its order may still be on its way.
 */
export class VersionPolicy {
  /** Version that served last without an order, by service. */
  readonly #established = new Map<string, string>();

  constructor(private readonly sources: VersionPolicyDependencies) {}

  /** Progress of an order. */
  progressOf(order: MoveOrder): MoveProgress {
    const record = this.sources.orders.current().moveRecords.get(order.service);
    const isOfOrder = record?.toVersion === order.toVersion && record.revision > order.revision;
    if (isOfOrder && record.outcome !== MoveOutcome.Running) return this.#ended(record.outcome);
    const rank = this.sources.registers.read(RegisterKind.Stage, order.service)?.rank ?? 0;
    const step = registerStepOf(order.revision, rank) ?? 0;
    if (step === completedStep) return this.#ended(MoveOutcome.Completed);
    if (step === rolledBackStep) return this.#ended(MoveOutcome.RolledBack);
    const share = moveStages[step]?.share ?? 0;
    return { outcome: MoveOutcome.Running, share, stage: step };
  }

  /** Version of one new call; `roll` is uniform in [0, 1), and 1 gives the old version. */
  choose(service: string, roll: number): string | undefined {
    const counts = this.#liveCounts(service);
    const order = this.sources.orders.current().moves.get(service);
    const progress = order && this.progressOf(order);
    const old = this.#oldVersion(service, counts, order, progress);
    if (!order || !progress || !counts.has(order.toVersion)) return old;
    if (progress.outcome === MoveOutcome.Completed) return order.toVersion;
    const isNew = progress.outcome === MoveOutcome.Running && roll < progress.share;
    return isNew ? order.toVersion : old;
  }

  /** Whether a version may get new calls at all. */
  isAllowed(service: string, version: string): boolean {
    const order = this.sources.orders.current().moves.get(service);
    const old = this.#oldVersion(
      service,
      this.#liveCounts(service),
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

  /** Live servers by version. */
  #liveCounts(service: string): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const { state, backendVersion } of this.sources.members.ofService(service)) {
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
    const known = this.#established.get(service);
    const others = [...counts].filter(([version]) => version !== order?.toVersion);
    // The largest group is the one that served before; at equal size the known one, then by name, so
    // that a node that has just joined chooses like the others.
    others.sort(
      ([leftVersion, left], [rightVersion, right]) =>
        right - left ||
        Number(rightVersion === known) - Number(leftVersion === known) ||
        (leftVersion < rightVersion ? -1 : 1),
    );
    const version = others[0]?.[0];
    if (version !== undefined) this.#established.set(service, version);
    return version ?? known;
  }
}
