import type { RandomSource, System, Tick } from '@sequoiafield/tables';
import { MoveVerdict, type MemberView } from '@sequoiafield/types';
import type { MoveTable } from './move-table.js';
import type { MoveState, VerdictBody } from './move-state.js';
import { createVerdictEntry, type MoveRegisters } from './move-registers.js';
import { chooseMembers } from './rendezvous.js';

/** Nodes that write a verdict; the second one writes if the first cannot reach the store. */
const writerCount = 2;
/** Delay between one writer and the next, so that the next one mostly finds the verdict written. */
const writerIntervalMs = 10_000;
/** Upper bound of the random delay before the first access to the store. */
const accessDelayMaxMs = 1000;
/** Interval at which the moves are checked for verdicts to write. */
const checkIntervalMs = 1000;
const retryMinMs = 1000;
const retryMaxMs = 60_000;

/** Store of the verdicts, reduced to what this package uses. */
export interface VerdictStore {
  /**
   * Reads a move's verdict, undefined if none is stored. Rejects while the store is unavailable.
   */
  read(moveId: string): Promise<VerdictBody | undefined>;
  /** Writes a verdict by compare-and-swap; must not replace a stored `RolledBack`. */
  write(verdict: VerdictBody): Promise<void>;
}

interface WriterState {
  nextAtMs: number;
  retryMs: number;
  isRunning: boolean;
  /** Verdict for which `nextAtMs` is set. */
  scheduledVerdict: MoveVerdict;
  /** Verdict known to be in the store; undefined before the first answer of the store. */
  stored: MoveVerdict | undefined;
}

/**
 * Writes verdicts of the own service's moves to the store once the store is available, and publishes
 * verdicts read from the store in the registers. Only the `writerCount` members with the highest
 * rendezvous rank do so; they retry with exponential backoff and jitter.
 *
 * @example
 * const writer = new VerdictWriter(selfId, members, moveTable, registers, store, random);
 */
export class VerdictWriter implements System {
  readonly name = 'verdict writer';

  #nextAtMs = 0;

  readonly #states = new Map<string, WriterState>();

  constructor(
    private readonly selfId: string,
    private readonly members: MemberView,
    private readonly moveTable: MoveTable,
    private readonly registers: MoveRegisters,
    private readonly store: VerdictStore,
    private readonly random: RandomSource,
  ) {}

  run({ nowMs }: Tick): void {
    if (nowMs < this.#nextAtMs) return;
    this.#nextAtMs = nowMs + checkIntervalMs;
    const ownService = this.members.get(this.selfId)?.service;
    const listedIds = new Set<string>();
    for (const move of this.moveTable.moves.rows()) {
      listedIds.add(move.intent.id);
      if (move.service.name === ownService) this.#checkMove(move, nowMs);
    }
    [...this.#states.keys()]
      .filter((id) => !listedIds.has(id))
      .forEach((id) => this.#states.delete(id));
  }

  #checkMove(move: MoveState, nowMs: number): void {
    const { id } = move.intent;
    const writerIndex = this.#ownWriterIndex(move);
    if (writerIndex < 0) {
      this.#states.delete(id);
      return;
    }
    const dueAtMs = nowMs + writerIndex * writerIntervalMs + this.random.next() * accessDelayMaxMs;
    const state = this.#states.get(id) ?? {
      ...{ nextAtMs: dueAtMs, retryMs: retryMinMs, isRunning: false, stored: undefined },
      scheduledVerdict: move.verdict,
    };
    this.#states.set(id, state);
    if (state.scheduledVerdict !== move.verdict) {
      state.scheduledVerdict = move.verdict;
      state.nextAtMs = dueAtMs;
    }
    const isStored = state.stored === move.verdict || state.stored === MoveVerdict.RolledBack;
    if (!isStored && !state.isRunning && nowMs >= state.nextAtMs) this.#start(move, state, nowMs);
  }

  #start(move: MoveState, writerState: WriterState, nowMs: number): void {
    const state = writerState;
    state.isRunning = true;
    this.#sync(move, state).then(
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

  /** Index of this node among the writers, by the current members; -1 if it is not a writer. */
  #ownWriterIndex({ intent, service }: MoveState): number {
    const key = `verdict ${intent.id}`;
    return chooseMembers(this.members, service.name, key, writerCount).findIndex(
      (member) => member.id === this.selfId,
    );
  }

  /**
   * Writes the verdict of this node if it ranks above the stored one, else publishes the latter.
   */
  async #sync(move: MoveState, writerState: WriterState): Promise<void> {
    const state = writerState;
    const { id } = move.intent;
    const stored = await this.store.read(id);
    const knownVerdict = this.registers.verdict(id);
    const isNewer =
      knownVerdict &&
      (!stored || createVerdictEntry(knownVerdict).rank > createVerdictEntry(stored).rank);
    if (isNewer) await this.store.write(knownVerdict);
    else if (stored) this.registers.publishVerdict(stored);
    state.stored = isNewer ? knownVerdict.verdict : (stored?.verdict ?? MoveVerdict.Undecided);
  }
}
