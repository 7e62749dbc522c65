import { logEvents, type Logger } from '@sequoiafield/logger';
import { monotonicNowMs, type System, type Tick } from '@sequoiafield/tables';
import { MemberState } from '@sequoiafield/types';
import { isLiveState } from './gossip-row.js';
import type { MembersTable } from './members-table.js';
import type { SuspicionPolicy } from './policies.js';

interface Suspicion {
  readonly incarnation: number;
  readonly refutation: number;
  readonly observers: Set<string>;
  readonly sinceMs: number;
}

/** Maximum number of observers kept; more have no effect and lengthen the rumours. */
const observersMax = 3;
/** An unconfirmed suspicion is dropped after this time; a real failure is confirmed within seconds. */
const unconfirmedTimeoutMs = 30_000;

/**
 * Tracks suspected members with the observers that report them, and declares confirmed ones dead.
 *
 * @example
 * suspicions.report('b', row.incarnation, row.refutation, ['a', 'c']);
 */
export class SuspicionTracker implements System {
  readonly name = 'suspicions';

  readonly #suspicions = new Map<string, Suspicion>();

  constructor(
    private readonly members: MembersTable,
    private readonly policy: SuspicionPolicy,
    private readonly logger: Logger,
  ) {}

  /** Adds observers; returns whether any of them is new, so that the suspicion has to be spread. */
  report(
    id: string,
    incarnation: number,
    refutation: number,
    observers: readonly string[],
  ): boolean {
    const row = this.members.get(id);
    if (!row || !isLiveState(row.state)) return false;
    if (row.incarnation !== incarnation || row.refutation !== refutation) return false;
    const known = this.#findCurrent(id, incarnation, refutation);
    const suspicion = known ?? this.#createSuspicion(id, incarnation, refutation);
    const sizeBefore = suspicion.observers.size;
    for (const observer of observers) {
      if (suspicion.observers.size < observersMax) suspicion.observers.add(observer);
    }
    return suspicion.observers.size > sizeBefore;
  }

  observersOf(id: string): readonly string[] {
    return [...(this.#suspicions.get(id)?.observers ?? [])];
  }

  run(tick: Tick): void {
    for (const [id, suspicion] of this.#suspicions) this.#evaluate(id, suspicion, tick.nowMs);
  }

  #findCurrent(id: string, incarnation: number, refutation: number): Suspicion | undefined {
    const known = this.#suspicions.get(id);
    const isCurrent = known?.incarnation === incarnation && known.refutation === refutation;
    return isCurrent ? known : undefined;
  }

  #createSuspicion(id: string, incarnation: number, refutation: number): Suspicion {
    const created = {
      incarnation,
      refutation,
      observers: new Set<string>(),
      sinceMs: monotonicNowMs(),
    };
    this.#suspicions.set(id, created);
    const row = this.members.get(id);
    // A draining member keeps its state, so that it gets no new work when the suspicion is refuted.
    if (row && row.state < MemberState.Suspect) this.members.setState(row, MemberState.Suspect);
    this.logger.log(logEvents.memberSuspected, { memberId: id });
    return created;
  }

  #evaluate(id: string, suspicion: Suspicion, nowMs: number): void {
    const row = this.members.get(id);
    const isRefuted =
      !row ||
      !isLiveState(row.state) ||
      row.incarnation !== suspicion.incarnation ||
      row.refutation !== suspicion.refutation;
    if (isRefuted) {
      this.#suspicions.delete(id);
      return;
    }
    const ageMs = nowMs - suspicion.sinceMs;
    const isConfirmed =
      suspicion.observers.size >= this.policy.observersNeeded(this.members.fleetSize());
    if (isConfirmed && ageMs >= this.policy.suspicionTimeoutMs) {
      this.#suspicions.delete(id);
      this.members.setState(row, MemberState.Dead);
      this.logger.log(logEvents.memberDead, { memberId: id, observers: [...suspicion.observers] });
    } else if (!isConfirmed && ageMs >= unconfirmedTimeoutMs) {
      this.#suspicions.delete(id);
      if (row.state === MemberState.Suspect) this.members.setState(row, MemberState.Alive);
    }
  }
}
