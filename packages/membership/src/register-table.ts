import { RegisterKind, type RegisterEntry, type RegisterGossip } from '@sequoiafield/types';
import { hashText32 } from './hash.js';
import type { SpreadPolicy } from './policies.js';

type RegisterHandler = (entry: RegisterEntry, fromId: string) => void;

/** Key of the `Head` register; there is one head. */
export const headRegisterKey = 'head';

const registerId = (kind: RegisterKind, key: string): string => `${kind} ${key}`;

const entryHash = (entry: RegisterEntry): number =>
  hashText32(`${entry.kind} ${entry.key} ${entry.rank}`);

/**
 * Table of monotone registers: an entry is replaced only by one of a higher rank.
 *
 * @example
 * const registers = new RegisterTable('node-1', new PushAndRepairPolicy(), (entry) => push(entry));
 * registers.publish({ kind: RegisterKind.Head, key: 'head', rank: 7, body });
 */
export class RegisterTable implements RegisterGossip {
  readonly #entries = new Map<string, RegisterEntry>();

  readonly #handlers = new Map<RegisterKind, RegisterHandler[]>();

  #hash = 0;

  constructor(
    private readonly selfId: string,
    private readonly policy: Pick<SpreadPolicy, 'replaces'>,
    private readonly spread: (entry: RegisterEntry) => void,
  ) {}

  /** Hash over all entries; equal on two nodes that hold the same entries. */
  get hash(): number {
    return this.#hash >>> 0;
  }

  get headRank(): number {
    return this.read(RegisterKind.Head, headRegisterKey)?.rank ?? 0;
  }

  publish(entry: RegisterEntry): boolean {
    return this.merge(entry, this.selfId);
  }

  read(kind: RegisterKind, key: string): RegisterEntry | undefined {
    return this.#entries.get(registerId(kind, key));
  }

  subscribe(kind: RegisterKind, handler: RegisterHandler): void {
    const handlers = this.#handlers.get(kind) ?? [];
    handlers.push(handler);
    this.#handlers.set(kind, handlers);
  }

  entries(): Iterable<RegisterEntry> {
    return this.#entries.values();
  }

  /** Stores and spreads an entry received from `fromId` if it replaces the known one. */
  merge(entry: RegisterEntry, fromId: string): boolean {
    const id = registerId(entry.kind, entry.key);
    const known = this.#entries.get(id);
    if (!this.policy.replaces(known, entry)) return false;
    if (known) this.#hash ^= entryHash(known);
    this.#hash ^= entryHash(entry);
    this.#entries.set(id, entry);
    this.spread(entry);
    for (const handler of this.#handlers.get(entry.kind) ?? []) handler(entry, fromId);
    return true;
  }
}
