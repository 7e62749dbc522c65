import { monotonicNowMs } from '@sequoiafield/tables';
import { RegisterKind, type RegisterEntry } from '@sequoiafield/types';
import { createMembershipError } from './create-membership-error.js';
import { headRegisterKey, type RegisterTable } from './register-table.js';
import { itemOverheadBytes } from './rumour-queue.js';
import { encodeRegister } from './wire.js';

type RegisterRank = readonly [kind: RegisterKind, key: string, rank: number];

/** Ranks of one node's registers, or a page of them if they do not fit into one datagram. */
export interface RegisterSummary {
  /** Whether this is a reply, which is not answered by another summary. */
  readonly isReply: boolean;
  readonly ranks: readonly RegisterRank[];
}

/** Each rank takes about 45 bytes of a datagram of 1,200 bytes. */
const summaryRanksMax = 20;
/** Maximum size of the entries in one answer. */
const answerMaxBytes = 1000;

/** Returns the ranks of the own registers; if they do not fit, the page rotates with time. */
export const summarizeRegisters = (registers: RegisterTable, isReply: boolean): RegisterSummary => {
  const ranks = [...registers.entries()].map(({ kind, key, rank }): RegisterRank => [
    kind,
    key,
    rank,
  ]);
  const start =
    ranks.length > summaryRanksMax ? Math.floor(monotonicNowMs() / 100) % ranks.length : 0;
  return {
    isReply,
    ranks: [...ranks.slice(start), ...ranks.slice(0, start)].slice(0, summaryRanksMax),
  };
};

/** Checks a summary received from another node; throws `MembershipError`. */
export const parseRegisterSummary = (argument: unknown): RegisterSummary => {
  const { isReply, ranks } = (argument ?? {}) as Partial<RegisterSummary>;
  const isRank = (value: unknown): boolean =>
    Array.isArray(value) && value.length === 3 && typeof value[2] === 'number';
  if (!Array.isArray(ranks) || !ranks.every(isRank)) {
    throw createMembershipError(
      'Register summary is malformed: ranks is not an array of [kind, key, rank] with numeric ranks',
    );
  }
  return { isReply: Boolean(isReply), ranks };
};

/**
 * Encodes the entries that the sender of a summary lacks, up to the size of one datagram. The head
 * comes first, so that a large number of other registers never displaces it.
 */
export const encodeMissingEntries = (
  registers: RegisterTable,
  summary: RegisterSummary,
  headRank: number,
): Uint8Array[] => {
  const summaryRanks = new Map(summary.ranks.map(([kind, key, rank]) => [`${kind} ${key}`, rank]));
  const rankOf = ({ kind, key }: RegisterEntry): number =>
    kind === RegisterKind.Head ? headRank : (summaryRanks.get(`${kind} ${key}`) ?? -1);
  const head = registers.read(RegisterKind.Head, headRegisterKey);
  const others = [...registers.entries()].filter((entry) => entry !== head);
  const items: Uint8Array[] = [];
  let usedBytes = 0;
  for (const entry of head ? [head, ...others] : others) {
    if (rankOf(entry) < entry.rank) {
      const bytes = encodeRegister(entry);
      usedBytes += bytes.length + itemOverheadBytes;
      if (usedBytes > answerMaxBytes && items.length > 0) break;
      items.push(bytes);
    }
  }
  return items;
};

/** Returns whether the sender of a summary holds an entry of a higher rank. */
export const isBehind = (registers: RegisterTable, summary: RegisterSummary): boolean =>
  summary.ranks.some(([kind, key, rank]) => (registers.read(kind, key)?.rank ?? -1) < rank);
