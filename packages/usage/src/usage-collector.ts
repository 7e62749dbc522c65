import { monotonicNowMs } from '@sequoiafield/tables';
import { groupOf, type CollectorSelector } from './collector-selector.js';
import type { UsageMessage, UsageSum } from './usage-message.js';
import { keptWindowsCount, windowEndUnixMs } from './usage-windows.js';

/** Counts that one process of one node has delivered. */
interface Delivered {
  readonly id: string;
  version: number;
  sentAtUnixMs: number;
  heardAtMs: number;
  readonly accounts: string[];
  /** Running count of each account index, by window. */
  readonly windows: Map<number, Map<number, number>>;
}

/** Holds the running counts of nodes of the own data centre, and adds them up. */
export class UsageCollector {
  readonly #delivered = new Map<string, Delivered>();

  constructor(
    private readonly windowMs: number,
    private readonly selector: CollectorSelector,
  ) {}

  /**
   * Applies a message. Returns false if it builds on a version that this node does not hold, so that the
   * sender sends everything.
   */
  receive(fromId: string, message: UsageMessage): boolean {
    const key = `${fromId} ${message.incarnation}`;
    const known = this.#delivered.get(key);
    const isFull = message.baseVersion === 0;
    if (!isFull && (known?.version ?? 0) < message.baseVersion) return false;
    // An earlier message that arrives late has nothing that a later one lacks.
    if (known && message.version < known.version) return true;
    const delivered = known && !isFull ? known : this.#create(fromId);
    this.#delivered.set(key, delivered);
    this.#apply(delivered, message);
    return true;
  }

  /** Adds up the counts of the nodes of one group in some windows. */
  sum(windows: readonly number[], group: number, groupsCount: number): readonly UsageSum[] {
    const members = [...this.#delivered.values()].filter(
      ({ id }) => groupOf(id, groupsCount) === group,
    );
    const senderIds = this.selector.senderIdsOf(group, groupsCount);
    return windows.map((window) => {
      const endUnixMs = windowEndUnixMs(window, this.windowMs);
      const hasDelivered = new Set(
        members.filter(({ sentAtUnixMs }) => sentAtUnixMs >= endUnixMs).map(({ id }) => id),
      );
      return {
        isComplete: senderIds.every((id) => hasDelivered.has(id)),
        counts: this.#addUp(members, window),
      };
    });
  }

  /** Drops what is older than the windows that are kept. */
  prune(): void {
    const limitMs = monotonicNowMs() - keptWindowsCount * this.windowMs;
    for (const [key, { heardAtMs }] of this.#delivered) {
      if (heardAtMs < limitMs) this.#delivered.delete(key);
    }
  }

  #create(id: string): Delivered {
    const times = { version: 0, sentAtUnixMs: 0, heardAtMs: 0 };
    return { id, ...times, accounts: [], windows: new Map() };
  }

  #apply(delivered: Delivered, message: UsageMessage): void {
    const { accounts, windows } = delivered;
    // A message that is repeated names accounts that are known already.
    accounts.splice(message.knownAccountsCount, accounts.length, ...message.newAccounts);
    for (const [window, flatCounts] of message.windows) {
      const counts = windows.get(window) ?? new Map<number, number>();
      windows.set(window, counts);
      for (let index = 0; index + 1 < flatCounts.length; index += 2) {
        counts.set(flatCounts[index]!, flatCounts[index + 1]!);
      }
    }
    while (windows.size > keptWindowsCount) windows.delete([...windows.keys()][0]!);
    Object.assign(delivered, {
      version: message.version,
      sentAtUnixMs: message.sentAtUnixMs,
      heardAtMs: monotonicNowMs(),
    });
  }

  #addUp(members: readonly Delivered[], window: number): Map<string, number> {
    const total = new Map<string, number>();
    for (const { accounts, windows } of members) {
      for (const [index, count] of windows.get(window) ?? []) {
        const account = accounts[index];
        if (account !== undefined) total.set(account, (total.get(account) ?? 0) + count);
      }
    }
    return total;
  }
}
