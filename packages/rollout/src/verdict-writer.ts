import type { RandomSource, System, Tick } from '@sequoiafield/tables';
import { MoveVerdict, type MemberView } from '@sequoiafield/types';
import type { MoveBook } from './move-book.js';
import type { MoveState, VerdictBody } from './move-state.js';
import { verdictEntry, type MoveRegisters } from './registers.js';
import { chooseMembers } from './rendezvous.js';

/** Nodes that write a verdict; the second one covers a first one that is cut off from the store. */
const writerCount = 2;
/** Delay of each following writer, so that it mostly finds the verdict written. */
const nextWriterDelayMs = 10_000;
const firstDelayMaxMs = 1000;
const retryMinMs = 1000;
const retryMaxMs = 60_000;

/** Where verdicts are kept: the narrow part of the store that this package uses. */
export interface VerdictStore {
  /** Verdict of a move, or undefined if none is kept. Rejects while the store does not answer. */
  read(moveId: string): Promise<VerdictBody | undefined>;
  /** Keeps a verdict under compare-and-swap; must leave a kept `TakenBack` as it is. */
  write(verdict: VerdictBody): Promise<void>;
}

interface WriterState {
  nextAtMs: number;
  retryMs: number;
  isRunning: boolean;
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

  readonly #states = new Map<string, WriterState>();

  constructor(
    private readonly selfId: string,
    private readonly members: MemberView,
    private readonly book: MoveBook,
    private readonly registers: MoveRegisters,
    private readonly store: VerdictStore,
    private readonly random: RandomSource,
  ) {}

  run({ nowMs }: Tick): void {
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
    const state = this.#states.get(id) ?? this.#firstState(move, nowMs);
    if (!state) return;
    this.#states.set(id, state);
    if (state.isRunning || nowMs < state.nextAtMs || state.stored === move.verdict) return;
    if (state.stored === MoveVerdict.TakenBack) return;
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

  /** Undefined if this node does not write; the choice follows the members on each look. */
  #firstState(move: MoveState, nowMs: number): WriterState | undefined {
    const { intent, service } = move;
    const key = `verdict ${intent.id}`;
    const place = chooseMembers(this.members, service.name, key, writerCount).findIndex(
      (member) => member.id === this.selfId,
    );
    if (place < 0) return undefined;
    const delayMs = place * nextWriterDelayMs + this.random.next() * firstDelayMaxMs;
    return { nextAtMs: nowMs + delayMs, retryMs: retryMinMs, isRunning: false, stored: undefined };
  }

  async #exchange(move: MoveState, writerState: WriterState): Promise<void> {
    const state = writerState;
    const { id } = move.intent;
    const stored = await this.store.read(id);
    const own = this.registers.verdict(id);
    const isNewer = own && (!stored || verdictEntry(own).rank > verdictEntry(stored).rank);
    if (isNewer) await this.store.write(own);
    else if (stored) this.registers.publishVerdict(stored);
    state.stored = isNewer ? own.verdict : (stored?.verdict ?? MoveVerdict.Undecided);
  }
}
