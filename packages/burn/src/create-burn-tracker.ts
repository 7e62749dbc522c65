import { wallNowUnixMs, type System } from '@sequoiafield/tables';
import type { ObjectiveIntent, SnapshotView } from '@sequoiafield/types';
import { BurnCounter } from './burn-counter.js';
import type { BurnAnswer, BurnCounts, ServiceBurn } from './burn-types.js';
import { PruneSystem } from './prune-system.js';

/** Burn counters of one node. */
export interface BurnTracker {
  /** Counts one call; a service without an objective is not counted. */
  record(service: string, hasFailed: boolean, latencyMs: number): void;
  /** Returns this node's answer to the fleet query `BurnWindows`. */
  answer(): BurnAnswer;
  /** Merges the answers of two disjoint sets of nodes. */
  merge(left: BurnAnswer, right: BurnAnswer): BurnAnswer;
  readonly systems: readonly System[];
}

const addCounts = (left: BurnCounts | undefined, right: BurnCounts | undefined): BurnCounts => ({
  good: (left?.good ?? 0) + (right?.good ?? 0),
  bad: (left?.bad ?? 0) + (right?.bad ?? 0),
});

/**
 * Merges the counts of a service; nodes may briefly have different objectives, and the stricter one
 * is reported.
 */
const mergeServiceBurn = (left: ServiceBurn, right: ServiceBurn): ServiceBurn => {
  const points: Record<number, BurnCounts> = { ...left.points };
  Object.entries(right.points).forEach(([at, counts]) => {
    points[Number(at)] = addCounts(points[Number(at)], counts);
  });
  const windows = left.windows.map((counts, index) => addCounts(counts, right.windows[index]));
  return {
    targetPercent: Math.max(left.targetPercent, right.targetPercent),
    latencyMs: Math.min(left.latencyMs, right.latencyMs),
    windowDays: Math.max(left.windowDays, right.windowDays),
    windows,
    points,
  };
};

/**
 * Merges burn answers of two disjoint sets of nodes; the order does not matter.
 *
 * @example
 * fleetQuery.register(FleetQueryKind.BurnWindows, { answer: burn.answer, merge: mergeBurnAnswers });
 */
export const mergeBurnAnswers = (left: BurnAnswer, right: BurnAnswer): BurnAnswer => {
  const merged: Record<string, ServiceBurn> = { ...left };
  Object.entries(right).forEach(([service, burn]) => {
    const existing = merged[service];
    merged[service] = existing ? mergeServiceBurn(existing, burn) : burn;
  });
  return merged;
};

/**
 * Creates the burn counters of one node. A call is good if it succeeded within the objective's
 * latency, by the objective in the snapshot that is active when the call is recorded.
 *
 * @example
 * const burn = createBurnTracker({ snapshot });
 * burn.record('settlement', false, 12.5);
 * const report = summarizeBurn({ answered: 1, total: 1, missingIds: [], value: burn.answer() });
 */
export const createBurnTracker = ({
  snapshot,
}: {
  readonly snapshot: SnapshotView;
}): BurnTracker => {
  const counters = new Map<string, BurnCounter>();
  const findObjective = (service: string): ObjectiveIntent | undefined =>
    snapshot.current()?.services.get(service)?.objective;
  const record = (service: string, hasFailed: boolean, latencyMs: number): void => {
    const objective = findObjective(service);
    if (!objective) return;
    const counter = counters.get(service) ?? new BurnCounter();
    counters.set(service, counter);
    counter.add(!hasFailed && latencyMs <= objective.latencyMs, wallNowUnixMs());
  };
  const answer = (): BurnAnswer => {
    const answers: Record<string, ServiceBurn> = {};
    counters.forEach((counter, service) => {
      const objective = findObjective(service);
      if (!objective) return;
      const { targetPercent, latencyMs, windowDays } = objective;
      const windows = counter.windows(wallNowUnixMs());
      const points = counter.points();
      answers[service] = { targetPercent, latencyMs, windowDays, windows, points };
    });
    return answers;
  };
  return { record, answer, merge: mergeBurnAnswers, systems: [new PruneSystem(counters)] };
};
