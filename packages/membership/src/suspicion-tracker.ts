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

/** More observers than this add nothing and would lengthen the rumours. */
const maxObservers = 3;
/** A suspicion that nobody confirmed is dropped; a real failure is confirmed within seconds. */
const unconfirmedMs = 30_000;

/**
 * Suspected members with who observed their silence; declares them dead.
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

  /** Adds observers; says whether that is news, which is worth spreading. */
  report(
    id: string,
    incarnation: number,
    refutation: number,
    observers: readonly string[],
  ): boolean {
    const row = this.members.get(id);
    if (!row || !isLiveState(row.state)) return false;
    if (row.incarnation !== incarnation || row.refutation !== refutation) return false;
    const known = this.#currentOf(id, incarnation, refutation);
    const suspicion = known ?? this.#open(id, incarnation, refutation);
    const sizeBefore = suspicion.observers.size;
    for (const observer of observers) {
      if (suspicion.observers.size < maxObservers) suspicion.observers.add(observer);
    }
    return suspicion.observers.size > sizeBefore;
  }

  observersOf(id: string): readonly string[] {
    return [...(this.#suspicions.get(id)?.observers ?? [])];
  }

  run(tick: Tick): void {
    for (const [id, suspicion] of this.#suspicions) this.#review(id, suspicion, tick.nowMs);
  }

  #currentOf(id: string, incarnation: number, refutation: number): Suspicion | undefined {
    const known = this.#suspicions.get(id);
    const isCurrent = known?.incarnation === incarnation && known.refutation === refutation;
    return isCurrent ? known : undefined;
  }

  #open(id: string, incarnation: number, refutation: number): Suspicion {
    const opened = {
      incarnation,
      refutation,
      observers: new Set<string>(),
      sinceMs: monotonicNowMs(),
    };
    this.#suspicions.set(id, opened);
    const row = this.members.get(id);
    // A draining member keeps its state, so that it gets no new work when the suspicion is refuted.
    if (row && row.state < MemberState.Suspect) this.members.setState(row, MemberState.Suspect);
    this.logger.log(logEvents.memberSuspected, { memberId: id });
    return opened;
  }

  #review(id: string, suspicion: Suspicion, nowMs: number): void {
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
    } else if (!isConfirmed && ageMs >= unconfirmedMs) {
      this.#suspicions.delete(id);
      if (row.state === MemberState.Suspect) this.members.setState(row, MemberState.Alive);
    }
  }
}
