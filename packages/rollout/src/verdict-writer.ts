import type { RandomSource, System, Tick } from '@sequoiafield/tables';
import { MoveVerdict, type MemberView } from '@sequoiafield/types';
import type { MoveTable } from './move-table.js';
import type { MoveState, VerdictBody } from './move-state.js';
import { createVerdictEntry, type MoveRegisters } from './move-registers.js';
import { chooseMembers } from './rendezvous.js';

/** Nodes that write a verdict; the second one covers a first one that is cut off from the store. */
const writerCount = 2;
/** Delay of each following writer, so that it mostly finds the verdict written. */
const nextWriterDelayMs = 10_000;
const firstDelayMaxMs = 1000;
/** Time between two looks at the moves. */
const lookIntervalMs = 1000;
const retryMinMs = 1000;
const retryMaxMs = 60_000;

/** Where verdicts are kept: the narrow part of the store that this package uses. */
export interface VerdictStore {
  /** Verdict of a move, or undefined if none is kept. Rejects while the store does not answer. */
  read(moveId: string): Promise<VerdictBody | undefined>;
  /** Keeps a verdict under compare-and-swap; must leave a kept `RolledBack` as it is. */
  write(verdict: VerdictBody): Promise<void>;
}

interface WriterState {
  nextAtMs: number;
  retryMs: number;
  isRunning: boolean;
  /** Verdict for which `nextAtMs` was set. */
  dueFor: MoveVerdict;
  /** Verdict that the store is known to hold; undefined before the first answer. */
  stored: MoveVerdict | undefined;
}

/**
 * Writes verdicts of the own service's moves to the store once it answers, and learns verdicts that
 * the store holds. Only the `writerCount` members with the highest rendezvous rank do so, with
 * exponential, jittered retries.
 *
 * @example
 * const writer = new VerdictWriter(selfId, members, book, registers, store, random);
 */
export class VerdictWriter implements System {
  readonly name = 'verdict writer';

  #nextAtMs = 0;

  readonly #states = new Map<string, WriterState>();

  constructor(
    private readonly selfId: string,
    private readonly members: MemberView,
    private readonly book: MoveTable,
    private readonly registers: MoveRegisters,
    private readonly store: VerdictStore,
    private readonly random: RandomSource,
  ) {}

  run({ nowMs }: Tick): void {
    if (nowMs < this.#nextAtMs) return;
    this.#nextAtMs = nowMs + lookIntervalMs;
    const ownService = this.members.get(this.selfId)?.service;
    const known = new Set<string>();
    for (const move of this.book.moves.rows()) {
      known.add(move.intent.id);
      if (move.service.name === ownService) this.#look(move, nowMs);
    }
    [...this.#states.keys()]
      .filter((id) => !known.has(id))
      .forEach((id) => this.#states.delete(id));
  }

  #look(move: MoveState, nowMs: number): void {
    const { id } = move.intent;
    const place = this.#placeOfSelf(move);
    if (place < 0) {
      this.#states.delete(id);
      return;
    }
    const dueAtMs = nowMs + place * nextWriterDelayMs + this.random.next() * firstDelayMaxMs;
    const state = this.#states.get(id) ?? {
      ...{ nextAtMs: dueAtMs, retryMs: retryMinMs, isRunning: false, stored: undefined },
      dueFor: move.verdict,
    };
    this.#states.set(id, state);
    if (state.dueFor !== move.verdict) {
      state.dueFor = move.verdict;
      state.nextAtMs = dueAtMs;
    }
    const isKept = state.stored === move.verdict || state.stored === MoveVerdict.RolledBack;
    if (!isKept && !state.isRunning && nowMs >= state.nextAtMs) this.#start(move, state, nowMs);
  }

  #start(move: MoveState, writerState: WriterState, nowMs: number): void {
    const state = writerState;
    state.isRunning = true;
    this.#exchange(move, state).then(
      () => {
        state.isRunning = false;
        state.retryMs = retryMinMs;
      },
      () => {
        state.isRunning = false;
        state.nextAtMs = nowMs + state.retryMs * (0.5 + this.random.next());
        state.retryMs = Math.min(retryMaxMs, state.retryMs * 2);
      },
    );
  }

  /** Place of this node among the writers, which follows the members; -1 if it does not write. */
  #placeOfSelf({ intent, service }: MoveState): number {
    const key = `verdict ${intent.id}`;
    return chooseMembers(this.members, service.name, key, writerCount).findIndex(
      (member) => member.id === this.selfId,
    );
  }

  async #exchange(move: MoveState, writerState: WriterState): Promise<void> {
    const state = writerState;
    const { id } = move.intent;
    const stored = await this.store.read(id);
    const own = this.registers.verdict(id);
    const isNewer =
      own && (!stored || createVerdictEntry(own).rank > createVerdictEntry(stored).rank);
    if (isNewer) await this.store.write(own);
    else if (stored) this.registers.publishVerdict(stored);
    state.stored = isNewer ? own.verdict : (stored?.verdict ?? MoveVerdict.Undecided);
  }
}
