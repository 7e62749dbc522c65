import { SingleHolderDuty } from '@sequoiafield/duties';
import type { Logger } from '@sequoiafield/logger';
import type { LeaseStore } from '@sequoiafield/store';
import type { RandomSource, System } from '@sequoiafield/tables';
import { LinkRequestKind, type LinkRequester, type MemberView } from '@sequoiafield/types';
import { CollectorSelector } from './collector-selector.js';
import { UsageCollector } from './usage-collector.js';
import { UsageCounter } from './usage-counter.js';
import { UsageFixer } from './usage-fixer.js';
import { UsageLedger, type UsageTimes } from './usage-ledger.js';
import { decodeUsageMessage, encodeUsageSums, readWindows } from './usage-message.js';
import { UsageReporter } from './usage-reporter.js';
import { UsageSender } from './usage-sender.js';
import type { UsageSink } from './usage-sink.js';
import { UsageSums } from './usage-sums.js';

/** Key of the record of the duty's holder. */
export const usageDutyKey = 'sequoiafield/duty/usage';
/** Key of the record with the windows that were fixed last. */
export const usageRecordKey = 'sequoiafield/usage';
/**
 * Share of the time in which a report is due after which the counts are asked for. Nodes send their last
 * counts of a window within 0.6 s; the rest is for servers that refuse a request late.
 */
const askDelayShare = 0.4;
/** Time that is left for the write and the report when missing counts are no longer awaited. */
const fixAndSendMs = 1500;
/** Time for which a report is repeated, as a multiple of the time in which it is due. */
const sendLimitFactor = 6;

/** Options of `createUsage`. */
export interface UsageOptions {
  readonly selfId: string;
  /** Start of this process. */
  readonly incarnation: number;
  readonly windowMs: number;
  /** Time after the end of a window within which its report is due. */
  readonly lateMs: number;
  readonly leaseMs: number;
  readonly members: MemberView;
  readonly links: LinkRequester;
  readonly store: LeaseStore;
  readonly sink: UsageSink;
  readonly random: RandomSource;
  readonly logger: Logger;
}

/** Usage reporting of one node. */
export interface Usage {
  readonly counter: UsageCounter;
  readonly sender: UsageSender;
  readonly duty: SingleHolderDuty;
  readonly fixer: UsageFixer;
  readonly reporter: UsageReporter;
  readonly systems: readonly System[];
}

/** Answers the requests of other nodes; a malformed one gets an answer that is not used. */
const answerRequests = (links: LinkRequester, collector: UsageCollector, sums: UsageSums): void => {
  links.handle(LinkRequestKind.UsageCounts, (body, fromId) => {
    const message = decodeUsageMessage(body);
    return message !== undefined && collector.receive(fromId, message);
  });
  links.handle(LinkRequestKind.UsageSum, (body) => {
    const [list, group, groupsCount] = Array.isArray(body) ? (body as unknown[]) : [];
    const windows = readWindows(list);
    if (!windows || !Number.isSafeInteger(group) || !Number.isSafeInteger(groupsCount)) return [];
    return encodeUsageSums(collector.sum(windows, group as number, groupsCount as number));
  });
  links.handle(LinkRequestKind.UsageDataCentreSum, async (body) => {
    const windows = readWindows(body);
    return windows ? encodeUsageSums(await sums.ofOwnDataCentre(windows)) : [];
  });
};

/**
 * Creates the usage reporting of one node; run its `systems` in the node's tick loop.
 *
 * @example
 * const usage = createUsage({ selfId, incarnation, windowMs: 5000, lateMs: 10_000, leaseMs: 3000, ...rest });
 * const undo = usage.counter.record('bozi300');
 */
export const createUsage = (options: UsageOptions): Usage => {
  const { members, links, windowMs, lateMs } = options;
  const times: UsageTimes = {
    windowMs,
    askDelayMs: askDelayShare * lateMs,
    sendLimitMs: sendLimitFactor * lateMs,
  };
  const counter = new UsageCounter(windowMs);
  const selector = new CollectorSelector(members);
  const collector = new UsageCollector(windowMs, selector);
  const sums = new UsageSums({ ...options, collector, selector });
  answerRequests(links, collector, sums);
  const sender = new UsageSender({ ...options, counter, collector, selector });
  const duty = new SingleHolderDuty({ ...options, name: 'usage', key: usageDutyKey });
  const ledger = new UsageLedger(times);
  const awaitLimitMs = Math.max(times.askDelayMs, lateMs - fixAndSendMs);
  const fixer = new UsageFixer({
    ...{ ...options, key: usageRecordKey, awaitLimitMs },
    ...{ duty, sums, ledger },
  });
  const reporter = new UsageReporter({ ...options, duty, fixer, ledger });
  return { counter, sender, duty, fixer, reporter, systems: [sender, duty, reporter] };
};
