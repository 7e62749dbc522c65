import { monotonicNowMs } from '@sequoiafield/tables';
import { RegisterKind, type RegisterEntry } from '@sequoiafield/types';
import { createMembershipError } from './create-membership-error.js';
import { headRegisterKey, type RegisterTable } from './register-table.js';
import { itemOverheadBytes } from './rumour-queue.js';
import { encodeRegister } from './wire.js';

type RegisterRank = readonly [kind: RegisterKind, key: string, rank: number];

/** Ranks of one node's registers, a page of them if they do not fit one datagram. */
export interface RegisterSummary {
  /** A reply is not answered by another summary. */
  readonly isReply: boolean;
  readonly ranks: readonly RegisterRank[];
}

/** About 45 bytes each within a datagram of 1,200. */
const maxRanks = 20;
/** Bytes of entries in one answer. */
const answerBytes = 1000;

/** Ranks of the own registers; pages rotate with time. */
export const summarizeRegisters = (registers: RegisterTable, isReply: boolean): RegisterSummary => {
  const ranks = [...registers.entries()].map(({ kind, key, rank }): RegisterRank => [
    kind,
    key,
    rank,
  ]);
  const start = ranks.length > maxRanks ? Math.floor(monotonicNowMs() / 100) % ranks.length : 0;
  return { isReply, ranks: [...ranks.slice(start), ...ranks.slice(0, start)].slice(0, maxRanks) };
};

/** Checks a summary of another node; throws `MembershipError`. */
export const parseRegisterSummary = (argument: unknown): RegisterSummary => {
  const { isReply, ranks } = (argument ?? {}) as Partial<RegisterSummary>;
  const isRank = (value: unknown): boolean =>
    Array.isArray(value) && value.length === 3 && typeof value[2] === 'number';
  if (!Array.isArray(ranks) || !ranks.every(isRank)) {
    throw createMembershipError('Register summary is malformed');
  }
  return { isReply: Boolean(isReply), ranks };
};

/**
 * Encoded entries that the sender of a summary lacks, at most one datagram of them; the head comes
 * first, so that a page of many registers never displaces it.
 */
export const encodeMissingEntries = (
  registers: RegisterTable,
  summary: RegisterSummary,
  headRank: number,
): Uint8Array[] => {
  const theirs = new Map(summary.ranks.map(([kind, key, rank]) => [`${kind} ${key}`, rank]));
  const rankOf = ({ kind, key }: RegisterEntry): number =>
    kind === RegisterKind.Head ? headRank : (theirs.get(`${kind} ${key}`) ?? -1);
  const head = registers.read(RegisterKind.Head, headRegisterKey);
  const others = [...registers.entries()].filter((entry) => entry !== head);
  const items: Uint8Array[] = [];
  let usedBytes = 0;
  for (const entry of head ? [head, ...others] : others) {
    if (rankOf(entry) < entry.rank) {
      const bytes = encodeRegister(entry);
      usedBytes += bytes.length + itemOverheadBytes;
      if (usedBytes > answerBytes && items.length > 0) break;
      items.push(bytes);
    }
  }
  return items;
};

/** Whether the sender of a summary holds an entry of a higher rank. */
export const isBehind = (registers: RegisterTable, summary: RegisterSummary): boolean =>
  summary.ranks.some(([kind, key, rank]) => (registers.read(kind, key)?.rank ?? -1) < rank);
