import {
  MoveVerdict,
  RegisterKind,
  type MoveIntent,
  type RegisterEntry,
  type RegisterGossip,
} from '@sequoiafield/types';
import type { StageBody, VerdictBody } from './move-state.js';

/** Rank of a verdict's register. `RolledBack` has the highest, so that nothing replaces it. */
const verdictRanks: Readonly<Record<MoveVerdict, number>> = {
  [MoveVerdict.Undecided]: 0,
  [MoveVerdict.Done]: 1,
  [MoveVerdict.RolledBack]: 2,
};

const stageKey = (intent: MoveIntent): string => `${intent.id}:${intent.toVersion}`;

const isVerdictBody = (body: unknown): body is VerdictBody => {
  if (typeof body !== 'object' || body === null) return false;
  const { moveId, verdict, reason, atUnixMs } = body as Partial<VerdictBody>;
  return (
    typeof moveId === 'string' &&
    typeof reason === 'string' &&
    typeof atUnixMs === 'number' &&
    Object.values(MoveVerdict).some((known) => known === verdict)
  );
};

/**
 * Creates the register entry of a verdict. Its key is the id of the move, so a move that was rolled
 * back needs a new id to be tried again.
 *
 * @example
 * registers.publish(createVerdictEntry(record)); // a record that the store holds
 */
export const createVerdictEntry = (body: VerdictBody): RegisterEntry => ({
  kind: RegisterKind.Verdict,
  key: body.moveId,
  rank: verdictRanks[body.verdict],
  body,
});

/**
 * Reads the verdict in a register entry; undefined if the entry holds none.
 *
 * @example
 * registers.subscribe(RegisterKind.Verdict, (entry) => apply(readVerdictEntry(entry)));
 */
export const readVerdictEntry = (entry: RegisterEntry | undefined): VerdictBody | undefined =>
  entry && isVerdictBody(entry.body) ? entry.body : undefined;

/** Reads and publishes proven stages and verdicts of moves in the registers that gossip spreads. */
export class MoveRegisters {
  constructor(private readonly registers: RegisterGossip) {}

  provenStage(intent: MoveIntent): number {
    const body = this.registers.read(RegisterKind.Stage, stageKey(intent))?.body as
      Partial<StageBody> | undefined;
    return Number.isSafeInteger(body?.stage) ? (body?.stage ?? 0) : 0;
  }

  verdict(moveId: string): VerdictBody | undefined {
    return readVerdictEntry(this.registers.read(RegisterKind.Verdict, moveId));
  }

  publishStage(intent: MoveIntent, stage: number): boolean {
    const body: StageBody = { stage };
    const entry = { kind: RegisterKind.Stage, key: stageKey(intent), rank: stage, body };
    return this.registers.publish(entry);
  }

  publishVerdict(body: VerdictBody): boolean {
    return this.registers.publish(createVerdictEntry(body));
  }

  onChange(handler: () => void): void {
    this.registers.subscribe(RegisterKind.Stage, handler);
    this.registers.subscribe(RegisterKind.Verdict, handler);
  }
}
