import { wallNowUnixMs, type RandomSource, type System, type Tick } from '@sequoiafield/tables';
import { LinkRequestKind, type LinkRequester, type MemberRow } from '@sequoiafield/types';
import { groupOf, type CollectorSelector } from './collector-selector.js';
import type { UsageCollector } from './usage-collector.js';
import type { UsageCounter } from './usage-counter.js';
import { encodeUsageMessage, type UsageMessage } from './usage-message.js';
import { windowAt } from './usage-windows.js';

/** Interval of messages while counts change; grows with the group, whose collectors get all of them. */
const sendIntervalMinMs = 500;
const sendIntervalPerMemberMs = 20;
const sendTimeoutMs = 400;

/** Dependencies of a `UsageSender`. */
export interface UsageSenderOptions {
  readonly selfId: string;
  readonly incarnation: number;
  readonly windowMs: number;
  readonly counter: UsageCounter;
  readonly collector: UsageCollector;
  readonly selector: CollectorSelector;
  readonly links: LinkRequester;
  readonly random: RandomSource;
}

/** What one collector holds of this node's counts. */
interface Acknowledged {
  version: number;
  accountsCount: number;
  sentAtUnixMs: number;
  isBusy: boolean;
}

/**
 * Sends the running counts of this node to its two collectors: what changed since the last message that
 * each has acknowledged, and one message after the end of each window, which shows that nothing is missing.
 */
export class UsageSender implements System {
  readonly name = 'usage-sender';

  readonly counters = { messages: 0 };

  #acknowledged = new Map<string, Acknowledged>();

  #nextAtMs: number | undefined;

  constructor(private readonly options: UsageSenderOptions) {}

  run(tick: Tick): void {
    const { random, selector } = this.options;
    // The first time is random, so that nodes that start together do not send together.
    this.#nextAtMs ??= tick.nowMs + sendIntervalMinMs * random.next();
    if (tick.nowMs < this.#nextAtMs) return;
    this.#nextAtMs = tick.nowMs + this.#intervalMs();
    this.options.collector.prune();
    const collectors = selector.ownCollectors();
    const states = collectors.map(
      (row) => [row, this.#acknowledged.get(this.#keyOf(row)) ?? this.#createState()] as const,
    );
    this.#acknowledged = new Map(states.map(([row, state]) => [this.#keyOf(row), state]));
    for (const [row, state] of states) this.#sendIfDue(row, state);
  }

  #keyOf({ id, incarnation }: MemberRow): string {
    return `${id} ${incarnation}`;
  }

  #createState(): Acknowledged {
    return { version: 0, accountsCount: 0, sentAtUnixMs: 0, isBusy: false };
  }

  #intervalMs(): number {
    const { selector, selfId } = this.options;
    const groupsCount = selector.groupsCount();
    const { length } = selector.senderIdsOf(groupOf(selfId, groupsCount), groupsCount);
    return Math.max(sendIntervalMinMs, sendIntervalPerMemberMs * length);
  }

  #sendIfDue(row: MemberRow, state: Acknowledged): void {
    const { counter, windowMs } = this.options;
    const isNewWindow =
      windowAt(state.sentAtUnixMs, windowMs) !== windowAt(wallNowUnixMs(), windowMs);
    if (state.isBusy || (counter.version === state.version && !isNewWindow)) return;
    const acknowledged = state;
    acknowledged.isBusy = true;
    this.#send(row, acknowledged)
      .catch(() => undefined)
      .finally(() => {
        acknowledged.isBusy = false;
      });
  }

  async #send(row: MemberRow, acknowledged: Acknowledged): Promise<void> {
    const message = this.#createMessage(acknowledged);
    this.counters.messages += 1;
    const isApplied = await this.#deliver(row, message);
    Object.assign(
      acknowledged,
      isApplied
        ? {
            version: message.version,
            accountsCount: message.knownAccountsCount + message.newAccounts.length,
            sentAtUnixMs: message.sentAtUnixMs,
          }
        : { version: 0, accountsCount: 0, sentAtUnixMs: 0 },
    );
  }

  async #deliver(row: MemberRow, message: UsageMessage): Promise<boolean> {
    const { selfId, collector, links } = this.options;
    if (row.id === selfId) return collector.receive(selfId, message);
    const body = encodeUsageMessage(message);
    return (await links.request(row, LinkRequestKind.UsageCounts, body, sendTimeoutMs)) === true;
  }

  #createMessage({ version, accountsCount }: Acknowledged): UsageMessage {
    const { counter, incarnation } = this.options;
    return {
      incarnation,
      baseVersion: version,
      version: counter.version,
      sentAtUnixMs: wallNowUnixMs(),
      knownAccountsCount: accountsCount,
      newAccounts: counter.accounts.slice(accountsCount),
      windows: counter.changesSince(version),
    };
  }
}
