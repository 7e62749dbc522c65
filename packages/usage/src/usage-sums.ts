import { LinkRequestKind, type LinkRequester, type MemberRow } from '@sequoiafield/types';
import type { CollectorSelector } from './collector-selector.js';
import type { UsageCollector } from './usage-collector.js';
import { decodeUsageSums, type UsageSum } from './usage-message.js';
import { addCounts, type WindowCounts } from './usage-windows.js';

const collectorTimeoutMs = 400;
/** Longer than that of a collector, so that a data centre answers although a collector does not. */
const dataCentreTimeoutMs = 700;
/** Members of another data centre that are asked one after the other. */
const addersMax = 2;

/** Dependencies of `UsageSums`. */
export interface UsageSumsOptions {
  readonly selfId: string;
  readonly collector: UsageCollector;
  readonly selector: CollectorSelector;
  readonly links: LinkRequester;
}

/** Adds the sums of different nodes, window by window; undefined is an answer that is missing. */
const addSums = (
  windowsCount: number,
  parts: readonly (readonly UsageSum[] | undefined)[],
): readonly UsageSum[] =>
  Array.from({ length: windowsCount }, (_, index) => {
    const counts = new Map<string, number>();
    for (const part of parts) addCounts(counts, part?.[index]?.counts ?? new Map());
    return { isComplete: parts.every((part) => part?.[index]?.isComplete === true), counts };
  });

/**
 * Merges the answers of the collectors of one group. Both hold counts of the same nodes and may lack some,
 * so that the greater count of each account is the better one.
 */
const mergeCollectors = (
  windowsCount: number,
  answers: readonly (readonly UsageSum[])[],
): readonly UsageSum[] =>
  Array.from({ length: windowsCount }, (_, index) => {
    const counts = new Map<string, number>();
    const add = (part: WindowCounts): void => {
      for (const [account, count] of part)
        counts.set(account, Math.max(count, counts.get(account) ?? 0));
    };
    answers.forEach((answer) => add(answer[index]!.counts));
    return { isComplete: answers.some((answer) => answer[index]!.isComplete), counts };
  });

/** Adds up the counts of the own data centre and of the fleet. */
export class UsageSums {
  constructor(private readonly options: UsageSumsOptions) {}

  /** Adds up the counts of all nodes of the own data centre. */
  async ofOwnDataCentre(windows: readonly number[]): Promise<readonly UsageSum[]> {
    const groupsCount = this.options.selector.groupsCount();
    const groups = Array.from({ length: groupsCount }, (_, group) =>
      this.#ofGroup(windows, group, groupsCount),
    );
    return addSums(windows.length, await Promise.all(groups));
  }

  /** Adds up the counts of all nodes; the others ask one member of each other data centre. */
  async ofFleet(windows: readonly number[]): Promise<readonly UsageSum[]> {
    const others = this.options.selector
      .otherDataCentres()
      .map((dataCentre) => this.#ofDataCentre(windows, dataCentre));
    const parts = await Promise.all([this.ofOwnDataCentre(windows), ...others]);
    return addSums(windows.length, parts);
  }

  async #ofGroup(
    windows: readonly number[],
    group: number,
    groupsCount: number,
  ): Promise<readonly UsageSum[]> {
    const { selector, selfId, collector } = this.options;
    const body = [windows, group, groupsCount];
    const asked = selector
      .collectorsOf(group)
      .map((row) =>
        row.id === selfId
          ? Promise.resolve(collector.sum(windows, group, groupsCount))
          : this.#ask(row, LinkRequestKind.UsageSum, body, windows.length, collectorTimeoutMs),
      );
    const answers = await Promise.all(asked);
    return mergeCollectors(
      windows.length,
      answers.flatMap((answer) => (answer ? [answer] : [])),
    );
  }

  async #ofDataCentre(
    windows: readonly number[],
    dataCentre: string,
  ): Promise<readonly UsageSum[] | undefined> {
    const { selector } = this.options;
    for (const row of selector.addersOf(dataCentre).slice(0, addersMax)) {
      const kind = LinkRequestKind.UsageDataCentreSum;
      const sums = await this.#ask(row, kind, windows, windows.length, dataCentreTimeoutMs);
      if (sums) return sums;
    }
    return undefined;
  }

  /** Asks a member; undefined if it does not answer as expected. */
  async #ask(
    row: MemberRow,
    kind: LinkRequestKind,
    body: unknown,
    windowsCount: number,
    timeoutMs: number,
  ): Promise<readonly UsageSum[] | undefined> {
    try {
      return decodeUsageSums(
        await this.options.links.request(row, kind, body, timeoutMs),
        windowsCount,
      );
    } catch {
      return undefined;
    }
  }
}
